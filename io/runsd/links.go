package runsd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/runs"
	"persimmonstage/core/when"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

const (
	// dialTimeout is far above a round trip between data centres, and short so that a host that starts is found soon.
	dialTimeout = 150 * time.Millisecond
	// redialPause is the time between two tries to connect within redialTime of the loss, when a restart is likely, and
	// redialLater that between later ones.
	redialPause = 60 * time.Millisecond
	redialTime  = 8 * time.Second
	redialLater = 800 * time.Millisecond
	// forgetAfter is how long after the loss of a connection its entry counts as gone for good.
	forgetAfter = 30 * time.Minute
)

// link is the connection to one entry's address; the loop owns its fields.
type link struct {
	addr     string
	conn     uint64 // 0 is none
	dialing  bool
	greeted  bool // the hello was sent
	nextDial time.Time
	lostAt   time.Time // when it was learned or lost
	entry    string    // the name that the entry gave
	owner    string    // the entry's incarnation, empty before its answer to the hello
	heard    time.Time
	nextBeat time.Time
	report   *wire.RunReport
	flushing bool
	told     *wire.TargetState
	sentDoc  int64
	leftAt   time.Time // when the entry was told that it gets the target no more; zero if it may use it
}

// AddEntries takes addresses of entries to connect to.
func (d *Daemon) AddEntries(addrs []string) {
	d.loop.Post(func(time.Time) { d.learn(addrs) })
}

func (d *Daemon) learn(addrs []string) {
	for _, addr := range addrs {
		if d.subset.Add(addr) {
			d.links[addr] = &link{addr: addr, lostAt: uptime.Now()}
			d.log.Info("entry learned", zap.String("address", addr))
		}
	}
}

// keep connects a link, sends its heartbeat, or gives up a silent connection. Nothing is announced before it is certain that
// nothing of earlier processes runs at the target.
func (d *Daemon) keep(now time.Time, l *link) {
	switch {
	case l.conn == 0 && now.Sub(l.lostAt) > forgetAfter && !l.dialing:
		delete(d.links, l.addr)
		d.subset.Remove(l.addr)
		d.log.Info("entry forgotten", zap.String("entry", l.entry), zap.String("address", l.addr))
	case l.conn == 0:
		if d.runs.Clean() && d.subset.Selected(l.addr) && !l.dialing && !now.Before(l.nextDial) {
			d.dial(l)
		}
	case now.Sub(l.heard) > silence:
		d.log.Warn("entry silent", zap.String("entry", l.entry), zap.String("address", l.addr))
		d.control.Drop(l.conn)
		d.lost(now, l)
	case !l.greeted:
		d.hello(now, l)
	case d.parted(now, l):
		d.log.Info("entry given up", zap.String("entry", l.entry), zap.String("address", l.addr))
		d.control.Drop(l.conn)
		d.unlink(now, l)
	case l.owner != "" && !now.Before(l.nextBeat):
		d.beat(now, l)
	}
}

// beat sends a heartbeat, with the state if the entry has been told another one.
func (d *Daemon) beat(now time.Time, l *link) {
	l.nextBeat = now.Add(idleBeat)
	if d.runs.HasAttempts(l.owner) {
		l.nextBeat = now.Add(beatEvery)
	}
	b := &wire.TargetBeat{Stamp: now.UnixNano(), DocumentVersion: d.doc.Version()}
	if s := d.state(l); !sameState(l.told, s) {
		b.State = l.tell(s)
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetBeat{TargetBeat: b}})
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
	l.conn, l.heard = conn, now
	l.owner, l.told, l.report, l.sentDoc, l.greeted = "", nil, nil, 0, false
	d.conns[conn] = l
	d.hello(now, l)
}

// hello opens the connection; it is tried again until the connection takes it.
func (d *Daemon) hello(now time.Time, l *link) {
	l.greeted = d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetHello{TargetHello: &wire.TargetHello{
		Version: wire.Version, Agent: &wire.Ident{Name: d.self.Name, Incarnation: []byte(d.self.Incarnation)},
		DataCentre: d.cfg.DataCentre, State: d.state(l), DocumentVersion: d.doc.Version(),
		TenureMs: uint32(runs.Tenure.Milliseconds()), Stamp: now.UnixNano(),
	}}})
}

func (d *Daemon) backOff(now time.Time, l *link) {
	pause := redialPause
	if now.Sub(l.lostAt) > redialTime {
		pause = redialLater
	}
	l.nextDial = now.Add(pause)
}

func (d *Daemon) lost(now time.Time, l *link) {
	if d.owners[l.owner] == l {
		d.logOwner("entry lost", l)
	}
	d.unlink(now, l)
}

// unlink forgets the connection of a link.
func (d *Daemon) unlink(now time.Time, l *link) {
	delete(d.conns, l.conn)
	if d.owners[l.owner] == l {
		delete(d.owners, l.owner)
		d.offer.Remove(l.owner)
	}
	d.spread.Remove(l.addr)
	d.subset.Down(now, l.addr)
	l.conn, l.owner, l.report, l.lostAt, l.leftAt = 0, "", nil, now, time.Time{}
	d.backOff(now, l)
}

// partTime is how long after the word that an entry gets the target no more its connection is kept for orders that were under way.
const partTime = time.Second

// parted takes the target from an entry that isn't wanted any more, or gives it back if it is, and reports whether the connection
// may end: the entry has known for a while, and nothing of it runs here.
func (d *Daemon) parted(now time.Time, l *link) bool {
	surplus := d.subset.Surplus(now, l.addr)
	switch {
	case l.owner == "":
	case surplus && l.leftAt.IsZero():
		l.leftAt = now
		d.tellOwner(l)
	case !surplus && !l.leftAt.IsZero() && d.subset.Selected(l.addr):
		l.leftAt = time.Time{}
		d.tellOwner(l)
	}
	return surplus && !l.leftAt.IsZero() && now.Sub(l.leftAt) > partTime && !d.runs.HasAttempts(l.owner)
}

func (d *Daemon) opened(conn uint64) {
	if l := d.conns[conn]; l != nil && !l.greeted {
		d.hello(uptime.Now(), l)
	}
}

func (d *Daemon) closed(conn uint64) {
	if l := d.conns[conn]; l != nil {
		d.lost(uptime.Now(), l)
	}
}

func (d *Daemon) framed(conn uint64, f *wire.Frame) {
	l := d.conns[conn]
	if l == nil {
		return
	}
	now := uptime.Now()
	l.heard = now
	switch b := f.Body.(type) {
	case *wire.Frame_TargetHelloAnswer:
		d.welcomed(l, b.TargetHelloAnswer)
	case *wire.Frame_TargetBeatAnswer:
		d.echoed(l, b.TargetBeatAnswer)
	case *wire.Frame_RunOrders:
		d.orders(now, l, b.RunOrders)
	case *wire.Frame_Document:
		if d.doc.Update(b.Document.Version, b.Document.Data) {
			d.log.Info("configuration taken", zap.Int64("version", b.Document.Version), zap.String("entry", l.entry))
		}
	default:
		d.log.Warn("frame not expected", zap.String("entry", l.entry))
	}
}

// welcomed takes the entry's answer to the hello, which counts as the first echo of a heartbeat.
func (d *Daemon) welcomed(l *link, a *wire.TargetHelloAnswer) {
	l.entry, l.owner = a.Entry.GetName(), string(a.Entry.GetIncarnation())
	d.owners[l.owner] = l
	d.subset.Up(l.addr)
	d.logOwner("entry joined", l)
	d.runs.RecordEcho(l.owner, time.Unix(0, a.Stamp))
	d.runs.ResendEnds(l.owner, a.Open)
	d.spread.SetVersion(uptime.Now(), l.addr, a.DocumentVersion, d.doc.Version())
	effects{d}.Changed()
}

func (d *Daemon) echoed(l *link, a *wire.TargetBeatAnswer) {
	d.runs.RecordEcho(l.owner, time.Unix(0, a.Stamp))
	d.learn(a.Entries)
	version, data := d.doc.Get()
	d.spread.SetVersion(uptime.Now(), l.addr, a.DocumentVersion, version)
	if a.DocumentVersion < version && l.sentDoc < version {
		l.sentDoc = version
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_Document{Document: &wire.Document{Version: version, Data: data}}})
	}
}

// fetch asks for a newer document when its turn has come.
func (d *Daemon) fetch(now time.Time) {
	l := d.links[d.spread.Next(now, d.doc.Version())]
	if l != nil && l.conn != 0 {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_DocumentWant{DocumentWant: &wire.DocumentWant{}}})
	}
}

func (d *Daemon) orders(now time.Time, l *link, o *wire.RunOrders) {
	for _, id := range o.Stops {
		d.runs.Stop(now, l.owner, id)
	}
	if len(o.Starts) > 0 {
		d.offer.RecordOrder(now, l.owner)
		l.nextBeat = when.Earlier(l.nextBeat, now.Add(beatEvery))
	}
	for _, s := range o.Starts {
		d.runs.Order(now, l.owner, &runs.Order{
			Attempt: s.Attempt, Task: s.Task, Number: int(s.Number), Millicores: s.Millicores, MemoryMB: s.MemoryMb,
			Expected: time.Duration(s.ExpectedMs) * time.Millisecond, Payload: s.Payload,
		})
	}
}
