package runsd

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/runs"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// effects carries out what the table of runs decides; it is called on the loop.
type effects struct{ d *Daemon }

// Start calls the target.
func (e effects) Start(k runs.Key, o *runs.Order, until time.Time) { e.d.start(k, o, until) }

// Stop calls the target.
func (e effects) Stop(k runs.Key) {
	e.d.metrics.stops.Inc()
	e.d.stop(k)
}

// Ended gathers an end for its owner; one whose owner isn't connected is asked for when it connects again.
func (e effects) Ended(owner string, attempt uint64, how string, ranMS uint32) {
	e.d.metrics.ends.WithLabelValues(endLabel(how)).Inc()
	if l := e.d.gather(owner); l != nil {
		l.report.Ends = append(l.report.Ends, &wire.RunEnd{Attempt: attempt, How: how, RanMs: ranMS})
	}
}

// Closed logs the end of a run.
func (e effects) Closed(k runs.Key, owner string, attempt uint64, how string, ranMS uint32) {
	entry := ""
	if l := e.d.owners[owner]; l != nil {
		entry = l.entry
	}
	e.d.log.Info("run ended", zap.String("task", k.Task), zap.Int("number", k.Number), zap.Uint64("attempt", attempt),
		zap.String("entry", entry), zap.String("how", how), zap.Uint32("ran-ms", ranMS))
}

// Forecast gathers the expected end of an attempt for its owner.
func (e effects) Forecast(owner string, attempt uint64, left time.Duration) {
	if l := e.d.gather(owner); l != nil {
		l.report.Forecasts = append(l.report.Forecasts, &wire.RunForecast{Attempt: attempt, LeftMs: uint32(left.Milliseconds())})
	}
}

// gather returns the connection of an owner with its report, which goes out when the steps that are posted already are done.
func (d *Daemon) gather(owner string) *link {
	l := d.owners[owner]
	if l == nil {
		return nil
	}
	if l.report == nil {
		l.report = &wire.RunReport{}
	}
	if !l.flushing {
		l.flushing = true
		go d.loop.Post(func(time.Time) { d.flush(l) })
	}
	return l
}

// Changed tells the entries the new state a little later.
func (e effects) Changed() {
	d := e.d
	urgent := d.urgent()
	if d.pending && (d.soon || !urgent) {
		return
	}
	d.pending, d.soon = true, urgent
	delay := ampleDelay
	if urgent {
		delay = scarceDelay
	}
	time.AfterFunc(delay, func() { d.loop.Post(func(time.Time) { d.tellState() }) })
}

// urgent reports whether entries wait for the new state: room is scarce or was when they last heard, or the target has become
// usable or ceased to be.
func (d *Daemon) urgent() bool {
	st := d.runs.State(uptime.Now(), "")
	return st.Scarce || d.toldScarce || st.Usable != d.toldUsable
}

// flush sends an entry the ends that were gathered, with the state.
func (d *Daemon) flush(l *link) {
	l.flushing = false
	if l.report == nil || l.owner == "" {
		return
	}
	// What has ended was this entry's, so the room that it leaves is offered to it first.
	l.report.State = l.tell(d.stateFor(l, true))
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunReport{RunReport: l.report}})
	l.report = nil
}

// tellState tells the entries the state as it has become.
func (d *Daemon) tellState() {
	if !d.pending {
		return
	}
	d.pending, d.soon = false, false
	st := d.runs.State(uptime.Now(), "")
	d.toldScarce, d.toldUsable = st.Scarce, st.Usable
	d.offer.Restart(uptime.Now(), slices.Collect(maps.Keys(d.owners)))
	d.tellTurn()
}

// tellTurn tells the state to the entries whose turn it is, and goes on with the next ones while scarce room is left.
func (d *Daemon) tellTurn() {
	now := uptime.Now()
	st := d.runs.State(now, "")
	slots := st.Slots
	if !st.Scarce || slots == 0 {
		slots = len(d.owners)
	}
	d.offer.Extend(slots)
	for _, l := range d.owners {
		// An entry that sends no work hears of the state with the next heartbeat.
		if s := d.state(l); isNews(l.told, s) && (d.offer.Active(now, l.owner) || s.Usable != l.told.GetUsable()) {
			d.sendState(l, s)
		}
	}
	if !d.offer.Done() && !d.offering {
		d.offering = true
		time.AfterFunc(scarceDelay, func() { d.loop.Post(func(time.Time) { d.nextTurn() }) })
	}
}

// nextTurn offers room that is still free to further entries, unless a change is about to be told.
func (d *Daemon) nextTurn() {
	d.offering = false
	if !d.pending && !d.offer.Done() {
		d.tellTurn()
	}
}

// tellOwner tells one entry the present state.
func (d *Daemon) tellOwner(l *link) { d.sendState(l, d.state(l)) }

func (d *Daemon) sendState(l *link, s *wire.TargetState) {
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunReport{RunReport: &wire.RunReport{State: l.tell(s)}}})
}

// tell notes what the entry is told and returns it without what it knows already of the target itself.
func (l *link) tell(s *wire.TargetState) *wire.TargetState {
	known := l.told != nil && sameTarget(l.told, s)
	l.told = s
	if !known {
		return s
	}
	return &wire.TargetState{
		Brief: true, UsedMillicores: s.UsedMillicores, UsedMemoryMb: s.UsedMemoryMb, Usable: s.Usable, PacePermille: s.PacePermille,
		Seen: s.Seen, Held: s.Held,
	}
}

// sameTarget compares what is told of the target itself.
func sameTarget(a, b *wire.TargetState) bool {
	return a.Service == b.Service && a.Millicores == b.Millicores && a.MemoryMb == b.MemoryMb && slices.Equal(a.Labels, b.Labels)
}

// sameState reports whether a state is what the entry was told, nil being nothing.
func sameState(a, b *wire.TargetState) bool {
	return a != nil && sameTarget(a, b) && a.Held == b.Held && a.Usable == b.Usable && a.PacePermille == b.PacePermille &&
		a.UsedMillicores == b.UsedMillicores && a.UsedMemoryMb == b.UsedMemoryMb && a.Seen == b.Seen
}

func (d *Daemon) state(l *link) *wire.TargetState { return d.stateFor(l, d.offer.Offered(l.owner)) }

// stateFor returns the state for an entry that has been offered the room or hasn't; a full target is held from all.
func (d *Daemon) stateFor(l *link, offered bool) *wire.TargetState {
	const permille = 1000
	s := d.runs.State(uptime.Now(), l.owner)
	return &wire.TargetState{
		Service: s.Service, Millicores: s.Millicores, MemoryMb: s.MemoryMB,
		UsedMillicores: s.UsedMillicores, UsedMemoryMb: s.UsedMemoryMB, Usable: s.Usable && l.leftAt.IsZero(),
		PacePermille: uint32(s.Pace * permille), Labels: s.Labels, Seen: s.Seen,
		Held: s.Scarce && (s.Slots == 0 || !offered),
	}
}

// isNews reports whether a state changes what the entry may do: what happens at a target that is held from it before and after doesn't.
func isNews(told, s *wire.TargetState) bool {
	if told != nil && told.Held && s.Held && told.Usable == s.Usable && sameTarget(told, s) {
		return false
	}
	return !sameState(told, s)
}

func endLabel(how string) string {
	switch how {
	case "done", "failed", "stopped", "lapsed", runs.NoRoom, runs.Refused, runs.Unknown:
		return how
	}
	return "other"
}

func (d *Daemon) logOwner(message string, l *link) {
	d.log.Info(message, zap.String("entry", l.entry), zap.String("incarnation", l.owner), zap.String("address", l.addr))
}
