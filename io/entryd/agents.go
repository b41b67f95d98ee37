package entryd

import (
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/cause"
	"persimmonstage/core/ident"
	"persimmonstage/core/target"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/outbox"
	"persimmonstage/io/wire"
)

// agentLink is an agent's pair of connections; a target is announced while both are there.
type agentLink struct {
	who   ident.Ident
	hello *wire.Hello
	id    target.ID
	conn  uint64
	mux   *bulk.Mux
	box   *outbox.Outbox
	// nextAsk bounds how often the agent is asked for its records.
	nextAsk time.Time
	drained bool
	leaving bool
}

// agents are the agents with a connection; the loop owns it.
type agents struct {
	byIncarnation map[string]*agentLink
	byConn        map[uint64]*agentLink
	byTarget      map[target.ID]*agentLink
	lastOf        map[string]string
	// cut has the targets whose connections ended without a goodbye, and when each counts as lost if it isn't back.
	cut map[string]time.Time
}

func newAgents() agents {
	return agents{
		byIncarnation: make(map[string]*agentLink),
		byConn:        make(map[uint64]*agentLink),
		byTarget:      make(map[target.ID]*agentLink),
		lastOf:        make(map[string]string),
		cut:           make(map[string]time.Time),
	}
}

func (a *agents) link(h *wire.Hello) *agentLink {
	l := a.byIncarnation[h.Incarnation]
	if l == nil {
		l = &agentLink{who: ident.Ident{Name: h.Name, Incarnation: h.Incarnation}}
		a.byIncarnation[h.Incarnation] = l
	}
	l.hello = h
	return l
}

// workStream serves the stream on which an agent takes orders and gives results.
func (d *Daemon) workStream(m *bulk.Mux, h *wire.Hello, s net.Conn) {
	box := outbox.New()
	d.loop.Post(func(now time.Time) {
		l := d.agents.link(h)
		l.mux, l.box = m, box
		d.announce(now, l)
	})
	go func() {
		if err := box.Run(s); err != nil {
			m.Close()
		}
	}()
	err := d.receive(h, s)
	box.Close()
	m.Close()
	d.loop.Post(func(time.Time) { d.workEnded(h.Incarnation, box, err) })
}

func (d *Daemon) receive(h *wire.Hello, s net.Conn) error {
	for {
		var b wire.Bulk
		if err := frame.Read(s, frame.BulkLimit, &b); err != nil {
			return err
		}
		switch m := b.Body.(type) {
		case *wire.Bulk_Result:
			r := codec.ResultIn(m.Result)
			d.loop.Post(func(now time.Time) { d.owner.Result(now, r) })
		case *wire.Bulk_Refused:
			d.loop.Post(func(now time.Time) { d.refused(now, h.Incarnation, m.Refused) })
		default:
			d.log.Warn("work stream refused", zap.String("agent", h.Name), zap.String("reason", "unexpected message"))
			return errUnexpected
		}
	}
}

func (d *Daemon) refused(now time.Time, agent string, r *wire.Refused) {
	if l := d.agents.byIncarnation[agent]; l != nil && l.id != 0 {
		d.heardLoad(now, l, r.Stamp, r.Loads)
	}
	d.metrics.refusedByAgent.Inc()
	d.owner.Refused(now, r.Attempt, r.Reason)
}

func (d *Daemon) workEnded(incarnation string, box *outbox.Outbox, cause error) {
	l := d.agents.byIncarnation[incarnation]
	if l == nil || l.box != box {
		return
	}
	d.log.Info("agent disconnected", zap.String("agent", l.who.Name), zap.Error(cause))
	d.unannounce(l)
	l.mux, l.box = nil, nil
	d.forgetLink(l)
}

// announce enters a target whose both connections are there, and settles what an earlier connection left open.
func (d *Daemon) announce(now time.Time, l *agentLink) {
	if l.box == nil || l.conn == 0 {
		return
	}
	if last := d.agents.lastOf[l.who.Name]; last != "" && last != l.who.Incarnation {
		d.owner.AgentLost(now, last)
		d.noteLost(now, l.who.Name)
	}
	delete(d.agents.cut, l.who.Name)
	d.agents.lastOf[l.who.Name] = l.who.Incarnation
	h := l.hello
	if !h.Leaving {
		l.id, _ = d.roster.Announce(l.who.Name, l.who.Incarnation, h.DataCentre, h.Rack, codec.NeedsIn(h.Capacity), now)
		d.agents.byTarget[l.id] = l
		d.judge.Announced(l.id, l.who.Name, now)
		l.drained = false
		d.drainTarget(l)
		d.reach.Seen(h.DataCentre, l.who.Name)
		d.note(now, cause.TargetJoined, l.who.Name)
	}
	d.owner.Reconnected(l.who.Incarnation)
	d.log.Info("target announced", zap.String("agent", l.who.Name), zap.String("data-centre", h.DataCentre))
	d.owner.PlaceWaiting(now)
}

func (d *Daemon) unannounce(l *agentLink) {
	if l.id == 0 {
		return
	}
	d.roster.Remove(l.id)
	d.forgetTarget(l)
	if !l.leaving && !d.draining.Load() {
		d.agents.cut[l.who.Name] = time.Now().Add(ms(d.set.Timing.SuspectMS))
	}
}

// forgetTarget drops what is known of a target besides the roster's row.
func (d *Daemon) forgetTarget(l *agentLink) {
	now := time.Now()
	d.reach.Lost(now, l.hello.DataCentre, l.who.Name)
	d.speeds.Forget(l.id)
	d.judge.Gone(l.id, now)
	delete(d.agents.byTarget, l.id)
	l.id = 0
}

// noteLost enters into the account of the day that a target whose connections ended has died.
func (d *Daemon) noteLost(now time.Time, name string) {
	if _, ok := d.agents.cut[name]; ok {
		delete(d.agents.cut, name)
		d.note(now, cause.TargetLost, name)
	}
}

// tickLost notes the targets that didn't come back.
func (d *Daemon) tickLost(now time.Time) {
	for name, at := range d.agents.cut {
		if !now.Before(at) {
			d.noteLost(now, name)
		}
	}
}

// forgetLink drops a link that has no connection left.
func (d *Daemon) forgetLink(l *agentLink) {
	if l.box == nil && l.conn == 0 {
		delete(d.agents.byIncarnation, l.who.Incarnation)
	}
}

// agentSilent drops the connections of an agent whose heartbeats stopped; it comes back with new ones.
func (d *Daemon) agentSilent(id target.ID) {
	l := d.agents.byTarget[id]
	if l == nil {
		return
	}
	d.log.Info("agent silent", zap.String("agent", l.who.Name))
	d.forgetTarget(l)
	d.note(time.Now(), cause.TargetLost, l.who.Name)
	d.dropLink(l)
}

func (d *Daemon) dropLink(l *agentLink) {
	if l.mux != nil {
		go l.mux.Close()
	}
	if l.conn != 0 {
		d.control.Drop(l.conn)
	}
}
