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

// agentLink is an agent's pair of connections; its target is announced while both are open.
type agentLink struct {
	who   ident.Ident
	hello *wire.Hello
	id    target.ID
	conn  uint64
	mux   *bulk.Mux
	box   *outbox.Outbox
	// nextRecordsRequest is the earliest time of the next request for the agent's records.
	nextRecordsRequest time.Time
	drained            bool
	leaving            bool
}

// agents holds the agents that have a connection; only the loop touches it.
type agents struct {
	byIncarnation   map[string]*agentLink
	byConn          map[uint64]*agentLink
	byTarget        map[target.ID]*agentLink
	lastIncarnation map[string]string
	// disconnected holds, for each target whose connections ended without an announced leave, when it counts as lost.
	disconnected map[string]time.Time
}

func newAgents() agents {
	return agents{
		byIncarnation:   make(map[string]*agentLink),
		byConn:          make(map[uint64]*agentLink),
		byTarget:        make(map[target.ID]*agentLink),
		lastIncarnation: make(map[string]string),
		disconnected:    make(map[string]time.Time),
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

// workStream serves the stream that carries orders to an agent and results from it.
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
	d.loop.Post(func(time.Time) { d.workStreamEnded(h.Incarnation, box, err) })
}

func (d *Daemon) receive(h *wire.Hello, s net.Conn) error {
	for {
		var b wire.Bulk
		if err := frame.Read(s, frame.BulkLimit, &b); err != nil {
			return err
		}
		switch m := b.Body.(type) {
		case *wire.Bulk_Result:
			r := codec.DecodeResult(m.Result)
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
		d.reportLoads(now, l, r.Stamp, r.Loads)
	}
	d.metrics.refusedByAgent.Inc()
	d.owner.Refused(now, r.Attempt, r.Reason)
}

func (d *Daemon) workStreamEnded(incarnation string, box *outbox.Outbox, cause error) {
	l := d.agents.byIncarnation[incarnation]
	if l == nil || l.box != box {
		return
	}
	d.log.Info("agent disconnected", zap.String("agent", l.who.Name), zap.Error(cause))
	d.removeTarget(l)
	l.mux, l.box = nil, nil
	d.removeClosedLink(l)
}

// announce adds a target to the roster once both its connections are open, and handles the loss of an earlier incarnation.
func (d *Daemon) announce(now time.Time, l *agentLink) {
	if l.box == nil || l.conn == 0 {
		return
	}
	if last := d.agents.lastIncarnation[l.who.Name]; last != "" && last != l.who.Incarnation {
		d.owner.AgentLost(now, last)
		d.recordTargetLost(now, l.who.Name)
	}
	delete(d.agents.disconnected, l.who.Name)
	d.agents.lastIncarnation[l.who.Name] = l.who.Incarnation
	h := l.hello
	if !h.Leaving {
		l.id, _ = d.roster.Announce(l.who.Name, l.who.Incarnation, h.DataCentre, h.Rack, codec.DecodeNeeds(h.Capacity), now)
		d.agents.byTarget[l.id] = l
		d.detector.Announced(l.id, l.who.Name, now)
		l.drained = false
		d.applyDrain(l)
		d.reach.Seen(h.DataCentre, l.who.Name)
		d.recordEvent(now, cause.TargetJoined, l.who.Name)
	}
	d.owner.Reconnected(l.who.Incarnation)
	d.log.Info("target announced", zap.String("agent", l.who.Name), zap.String("data-centre", h.DataCentre))
	d.owner.PlaceWaiting(now)
}

func (d *Daemon) removeTarget(l *agentLink) {
	if l.id == 0 {
		return
	}
	d.roster.Remove(l.id)
	d.dropTargetState(l)
	if !l.leaving && !d.draining.Load() {
		d.agents.disconnected[l.who.Name] = time.Now().Add(ms(d.set.Timing.SuspectMS))
	}
}

// dropTargetState drops a target's state outside the roster.
func (d *Daemon) dropTargetState(l *agentLink) {
	now := time.Now()
	d.reach.Lost(now, l.hello.DataCentre, l.who.Name)
	d.speeds.Forget(l.id)
	d.detector.Gone(l.id, now)
	delete(d.agents.byTarget, l.id)
	l.id = 0
}

// recordTargetLost records the loss of a disconnected target in the account of the day.
func (d *Daemon) recordTargetLost(now time.Time, name string) {
	if _, ok := d.agents.disconnected[name]; ok {
		delete(d.agents.disconnected, name)
		d.recordEvent(now, cause.TargetLost, name)
	}
}

// tickDisconnected records the loss of targets that didn't reconnect in time.
func (d *Daemon) tickDisconnected(now time.Time) {
	for name, at := range d.agents.disconnected {
		if !now.Before(at) {
			d.recordTargetLost(now, name)
		}
	}
}

// removeClosedLink removes a link that has no connection left.
func (d *Daemon) removeClosedLink(l *agentLink) {
	if l.box == nil && l.conn == 0 {
		delete(d.agents.byIncarnation, l.who.Incarnation)
	}
}

// agentSilent drops the connections of an agent whose heartbeats stopped; the agent then reconnects.
func (d *Daemon) agentSilent(id target.ID) {
	l := d.agents.byTarget[id]
	if l == nil {
		return
	}
	d.log.Info("agent silent", zap.String("agent", l.who.Name))
	d.dropTargetState(l)
	d.recordEvent(time.Now(), cause.TargetLost, l.who.Name)
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
