package runsd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/batch"
	"persimmonstage/core/pairs"
	"persimmonstage/core/runs"
	"persimmonstage/core/times"
	"persimmonstage/io/addr"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// dialTimeout is far above a round trip between data centres, but short so that a starting host is connected to soon.
	dialTimeout = 50 * time.Millisecond
	// earlyRedialPause is the time between two attempts to connect within earlyRedialPeriod after a loss, when a restart is
	// likely, and lateRedialPause that between later ones.
	earlyRedialPause  = 20 * time.Millisecond
	earlyRedialPeriod = 8 * time.Second
	lateRedialPause   = 800 * time.Millisecond
	// forgetAfter is the time after the loss of a connection at which its entry is removed.
	forgetAfter = 30 * time.Minute
)

// link is the connection to one entry's address; the loop owns its fields.
type link struct {
	addr          string
	conn          uint64 // 0 if not connected
	dialing       bool
	helloSent     bool // the hello was sent
	nextDial      time.Time
	lostAt        time.Time // when the address was learned or the connection lost
	entry         string    // the entry's name, from its answer to the hello
	owner         string    // the entry's incarnation, empty before its answer to the hello
	lastReceived  time.Time
	nextHeartbeat time.Time
	report        *wire.RunReport
	flushing      bool
	sentState     *wire.TargetState
	wantsBeside   bool // the entry asked for what ran beside each run
	apartKinds    []pairs.Kind
	sentDoc       int64
	cancelledPos  uint64    // up to which the entry has been told of cancelled jobs
	claimsPos     uint64    // the same of claims
	evacuatedPos  uint64    // the same of evacuations
	surplusSince  time.Time // when the entry was sent that it can't use the target any more; zero if it can
}

// AddEntries adds addresses of entries to connect to.
func (d *Daemon) AddEntries(addrs []string) {
	d.loop.Post(func(time.Time) { d.addLinks(addrs) })
}

func (d *Daemon) addLinks(addrs []string) {
	for _, a := range addrs {
		if addr.Dialable(a) && d.subset.Add(a) {
			d.links[a] = &link{addr: a, lostAt: uptime.Now()}
			d.log.Info("entry learned", zap.String("address", a))
		}
	}
}

// maintain connects a link, sends its heartbeat, or closes a silent connection. It connects only once it is certain that no
// run of an earlier process of the agent is left at the target.
func (d *Daemon) maintain(now time.Time, l *link) {
	switch {
	case l.conn == 0 && now.Sub(l.lostAt) > forgetAfter && !l.dialing:
		delete(d.links, l.addr)
		d.subset.Remove(l.addr)
		d.log.Info("entry forgotten", zap.String("entry", l.entry), zap.String("address", l.addr))
	case l.conn == 0:
		if d.runs.Established() && d.subset.Selected(l.addr) && !l.dialing && !now.Before(l.nextDial) {
			d.dial(l)
		}
	case now.Sub(l.lastReceived) > silenceTimeout:
		d.log.Warn("entry silent", zap.String("entry", l.entry), zap.String("address", l.addr))
		d.control.Drop(l.conn)
		d.lost(now, l)
	case !l.helloSent:
		d.hello(now, l)
	case d.disconnectable(now, l):
		d.log.Info("entry given up", zap.String("entry", l.entry), zap.String("address", l.addr))
		d.control.Drop(l.conn)
		d.unlink(now, l)
	case l.owner != "" && !now.Before(l.nextHeartbeat):
		d.sendHeartbeat(now, l)
	}
}

// sendHeartbeat sends a heartbeat, with the state if it differs from the one last sent.
func (d *Daemon) sendHeartbeat(now time.Time, l *link) {
	period := idleHeartbeatPeriod
	if d.runs.HasAttempts(l.owner) {
		period = heartbeatPeriod
	}
	l.nextHeartbeat = d.nextSlot(now, period)
	b := &wire.TargetBeat{Stamp: now.UnixNano(), DocumentVersion: d.doc.Version()}
	b.Cancelled, l.cancelledPos = d.cancelled.After(now, l.cancelledPos)
	list, pos := d.claims.After(now, l.claimsPos)
	b.Claims, l.claimsPos = wire.NewClaims(now, list), pos
	b.Evacuations = d.evacuations.Since(&l.evacuatedPos)
	if d.sentScarce {
		total := d.offer.Total(now)
		b.Demand = wire.NewDemand(&total)
	}
	if s := d.state(l); !sameState(l.sentState, s) {
		b.State = l.shorten(s)
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetBeat{TargetBeat: b}})
}

// nextSlot returns the next multiple of a period, so that heartbeats to all entries are sent together and their answers are read
// together, which saves wake-ups. The phase differs between agents, whose heartbeats an entry would receive together otherwise.
func (d *Daemon) nextSlot(now time.Time, period time.Duration) time.Time {
	return now.Add(-d.phase).Truncate(period).Add(d.phase + period)
}

func (d *Daemon) dial(l *link) {
	l.dialing = true
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
		defer cancel()
		conn, err := d.control.Dial(ctx, l.addr)
		d.loop.Post(func(time.Time) { d.dialed(l, conn, err) })
	}()
}

func (d *Daemon) dialed(l *link, conn uint64, err error) {
	now := uptime.Now()
	l.dialing = false
	if err != nil {
		d.backOff(now, l)
		return
	}
	l.conn, l.lastReceived = conn, now
	l.owner, l.sentState, l.report, l.sentDoc, l.helloSent = "", nil, nil, 0, false
	d.conns[conn] = l
	d.hello(now, l)
}

// hello sends the first message of a connection; it is repeated until the connection accepts it.
func (d *Daemon) hello(now time.Time, l *link) {
	cancelled, pos := d.cancelled.After(now, 0)
	l.cancelledPos = pos
	list, claimsPos := d.claims.After(now, 0)
	l.claimsPos = claimsPos
	l.evacuatedPos = 0
	l.helloSent = d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetHello{TargetHello: &wire.TargetHello{
		Version: wire.Version, Agent: &wire.Ident{Name: d.self.Name, Incarnation: []byte(d.self.Incarnation)},
		DataCentre: d.cfg.DataCentre, State: d.state(l), DocumentVersion: d.doc.Version(),
		TenureMs: uint32(runs.Tenure.Milliseconds()), Stamp: now.UnixNano(),
		Cancelled: cancelled, Claims: wire.NewClaims(now, list), Evacuations: d.evacuations.Since(&l.evacuatedPos),
	}}})
}

func (d *Daemon) backOff(now time.Time, l *link) {
	pause := earlyRedialPause
	if now.Sub(l.lostAt) > earlyRedialPeriod {
		pause = lateRedialPause
	}
	l.nextDial = now.Add(pause)
}

func (d *Daemon) lost(now time.Time, l *link) {
	if d.owners[l.owner] == l {
		d.logOwner("entry lost", l)
	}
	d.unlink(now, l)
}

// unlink resets a link after the loss of its connection.
func (d *Daemon) unlink(now time.Time, l *link) {
	delete(d.conns, l.conn)
	if d.owners[l.owner] == l {
		delete(d.owners, l.owner)
		d.offer.Remove(l.owner)
	}
	d.spread.Remove(l.addr)
	d.subset.Down(now, l.addr)
	l.conn, l.owner, l.report, l.lostAt, l.surplusSince = 0, "", nil, now, time.Time{}
	d.backOff(now, l)
}

// surplusGrace is how long the connection of an entry that can't use the target any more is kept for orders that are under way.
const surplusGrace = time.Second

// disconnectable makes the target unusable for an entry that has become surplus, or usable again if the entry is wanted, and
// reports whether the connection may be closed: surplusGrace has passed, and the entry has no attempts here.
func (d *Daemon) disconnectable(now time.Time, l *link) bool {
	surplus := d.subset.Surplus(now, l.addr)
	switch {
	case l.owner == "":
	case surplus && l.surplusSince.IsZero():
		l.surplusSince = now
		d.sendTo(l)
	case !surplus && !l.surplusSince.IsZero() && d.subset.Selected(l.addr):
		l.surplusSince = time.Time{}
		d.sendTo(l)
	}
	return surplus && !l.surplusSince.IsZero() && now.Sub(l.surplusSince) > surplusGrace && !d.runs.HasAttempts(l.owner)
}

func (d *Daemon) opened(conn uint64) {
	if l := d.conns[conn]; l != nil && !l.helloSent {
		d.hello(uptime.Now(), l)
	}
}

func (d *Daemon) closed(conn uint64) {
	if l := d.conns[conn]; l != nil {
		d.lost(uptime.Now(), l)
	}
}

func (d *Daemon) received(conn uint64, f *wire.Frame) {
	l := d.conns[conn]
	if l == nil {
		return
	}
	now := uptime.Now()
	l.lastReceived = now
	switch b := f.Body.(type) {
	case *wire.Frame_TargetHelloAnswer:
		d.helloAnswered(l, b.TargetHelloAnswer)
	case *wire.Frame_TargetBeatAnswer:
		d.heartbeatAnswered(l, b.TargetBeatAnswer)
	case *wire.Frame_RunOrders:
		d.orders(now, l, b.RunOrders)
	case *wire.Frame_Document:
		d.takeDocument(b.Document, l.entry)
	case *wire.Frame_DocumentWant:
		d.documentRequests.Add(&documentRequest{conn: conn, want: b.DocumentWant})
		d.readDocument(now)
	default:
		d.log.Warn("frame not expected", zap.String("entry", l.entry))
	}
}

// helloAnswered processes the entry's answer to the hello, which counts as the first echo of a heartbeat.
func (d *Daemon) helloAnswered(l *link, a *wire.TargetHelloAnswer) {
	l.entry, l.owner = a.Entry.GetName(), string(a.Entry.GetIncarnation())
	d.takeEvacuations(wire.Marks(a.Evacuations), l.entry)
	d.owners[l.owner] = l
	d.subset.Up(l.addr)
	d.logOwner("entry joined", l)
	d.recordEcho(l.owner, a.Stamp)
	d.sendCrashes(l)
	d.runs.Reconnected(uptime.Now(), l.owner, a.Open)
	d.spread.SetVersion(uptime.Now(), l.addr, a.DocumentVersion, d.doc.Version())
	if l.wantsBeside = a.Beside; l.wantsBeside {
		d.runs.RecordNeighbours()
	}
	l.setApartKinds(nil)
	effects{d}.Changed()
}

// sendCrashes reports the target's recent crashes to an entry that has connected.
func (d *Daemon) sendCrashes(l *link) {
	for _, c := range d.crashes {
		if uptime.Now().Sub(c.At) < crashRetention {
			d.sendCrash(l, c)
		}
	}
}

// recordEcho records the stamp that an entry returned. One that is still to come wasn't sent by this process, and would keep the
// entry's runs going without its heartbeats.
func (d *Daemon) recordEcho(owner string, stamp int64) {
	if at := time.Unix(0, stamp); !at.After(uptime.Now()) {
		d.runs.RecordEcho(owner, at)
	}
}

func (d *Daemon) heartbeatAnswered(l *link, a *wire.TargetBeatAnswer) {
	d.takeEvacuations(wire.Marks(a.Evacuations), l.entry) // before the echo, with which orders are accepted again after a stall
	d.recordEcho(l.owner, a.Stamp)
	d.addLinks(a.Entries)
	l.setApartKinds(a.ApartKinds)
	now := uptime.Now()
	for _, id := range a.Cancelled {
		d.cancelled.Add(now, id)
	}
	for _, m := range a.Claims {
		d.claims.Receive(now, m.Claim(now))
	}
	if l.owner != "" && a.Demand != nil {
		d.offer.RecordDemand(now, l.owner, a.Demand.Demand())
	}
	version, data := d.doc.Get()
	d.spread.SetVersion(now, l.addr, a.DocumentVersion, version)
	if a.DocumentVersion < version && l.sentDoc < version {
		l.sentDoc = version
		d.sendDocument(l.conn, &wire.Document{Version: version, Data: data})
	}
}

func (d *Daemon) orders(now time.Time, l *link, o *wire.RunOrders) {
	if len(o.Starts) > 0 {
		d.offer.RecordOrder(now, l.owner)
		l.nextHeartbeat = times.Earlier(l.nextHeartbeat, now.Add(heartbeatPeriod))
	}
	starts := make([]*runs.Order, 0, len(o.Starts))
	for _, s := range o.Starts {
		starts = append(starts, &runs.Order{
			Attempt: s.Attempt, Task: s.Task, Route: s.Route, Number: int(s.Number), Millicores: s.Millicores, MemoryMB: s.MemoryMb,
			Expected: time.Duration(s.ExpectedMs) * time.Millisecond, Payload: s.Payload, Process: s.Process,
			StopBy: wire.EndOf(now, s.LeftMs), Cancelled: d.cancelled.Known(now, batch.JobOf(s.Task)),
		})
	}
	d.runs.Orders(now, l.owner, starts, o.Stops)
}
