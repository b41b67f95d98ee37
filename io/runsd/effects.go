package runsd

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/crash"
	"persimmonstage/core/runs"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// effects executes the decisions of the table of runs; it is called on the loop.
type effects struct{ d *Daemon }

// Start starts a run at the target.
func (e effects) Start(k runs.Key, o *runs.Order, until time.Time) { e.d.start(k, o, until) }

// Stop stops a run at the target.
func (e effects) Stop(k runs.Key) {
	e.d.metrics.stops.Inc()
	e.d.stop(k)
}

// Fence fences all earlier calls to the target.
func (e effects) Fence() { e.d.target.Fence() }

// Ended adds an end to its owner's report; an owner that isn't connected asks for it after it has reconnected.
func (e effects) Ended(owner string, attempt uint64, how string, ranMS uint32) {
	e.d.metrics.ends.WithLabelValues(endLabel(how)).Inc()
	if how == runs.Unknown {
		e.d.log.Warn("attempt unknown", zap.Uint64("attempt", attempt), zap.String("entry", e.d.entryName(owner)))
	}
	if l := e.d.queueReport(owner); l != nil {
		end := &wire.RunEnd{Attempt: attempt, How: how, RanMs: ranMS}
		if l.wantsBeside {
			addBeside(end, e.d.runs.Beside(owner, attempt))
		}
		l.report.Ends = append(l.report.Ends, end)
	}
}

// Closed logs the end of a run.
func (e effects) Closed(k runs.Key, owner string, attempt uint64, how string, ranMS uint32) {
	e.d.log.Info("run ended", zap.String("task", k.Task), zap.Int("number", k.Number), zap.Uint64("attempt", attempt),
		zap.String("entry", e.d.entryName(owner)), zap.String("how", how), zap.Uint32("ran-ms", ranMS))
}

// entryName returns the name of a connected entry for logs, empty if it isn't connected.
func (d *Daemon) entryName(owner string) string {
	if l := d.owners[owner]; l != nil {
		return l.entry
	}
	return ""
}

// Crashed logs a crash of the target with the tasks that ran then, and reports it to all entries.
func (e effects) Crashed(c *crash.Report) {
	if len(c.Tasks) > 0 {
		e.d.metrics.crashes.Inc()
	}
	e.d.crashes = append(e.d.crashes, c)
	if n := len(e.d.crashes); n > maxCrashReports {
		e.d.crashes = slices.Delete(e.d.crashes, 0, n-maxCrashReports)
	}
	for _, l := range e.d.owners {
		e.d.sendCrash(l, c)
	}
	tasks := make([]string, 0, len(c.Tasks))
	for _, t := range c.Tasks {
		tasks = append(tasks, fmt.Sprintf("%s@%d", t.Name, t.Ran.Milliseconds()))
	}
	e.d.log.Warn("target crashed", zap.Strings("tasks", tasks))
}

// sendCrash reports a crash of the target to an entry.
func (d *Daemon) sendCrash(l *link, c *crash.Report) {
	m := &wire.TargetCrash{Stamp: c.ID, AgeMs: uint32(uptime.Now().Sub(c.At).Milliseconds())}
	for _, t := range c.Tasks {
		m.Tasks = append(m.Tasks, &wire.CrashedTask{Task: t.Name, Route: t.Route, RanMs: uint32(t.Ran.Milliseconds())})
	}
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_TargetCrash{TargetCrash: m}})
}

// Forecast adds the remaining run time of an attempt to its owner's report.
func (e effects) Forecast(owner string, attempt uint64, left time.Duration) {
	if l := e.d.queueReport(owner); l != nil {
		l.report.Forecasts = append(l.report.Forecasts, &wire.RunForecast{Attempt: attempt, LeftMs: uint32(left.Milliseconds())})
	}
}

// queueReport returns the link of an owner with a report that is sent after the steps that are already posted; nil if the owner
// isn't connected.
func (d *Daemon) queueReport(owner string) *link {
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

// Changed schedules the transmission of the new state to the entries.
func (e effects) Changed() {
	d := e.d
	urgent := d.urgent()
	if d.pending && (d.pendingSoon || !urgent) {
		return
	}
	d.pending, d.pendingSoon = true, urgent
	delay := stateDelay
	if urgent {
		delay = scarceDelay
	}
	time.AfterFunc(delay, func() { d.loop.Post(func(time.Time) { d.sendStates() }) })
}

// urgent reports whether the new state has to be sent soon: room is scarce or was in the last state sent, or the target has
// become usable or unusable.
func (d *Daemon) urgent() bool {
	st := d.runs.State(uptime.Now(), "")
	return st.Scarce || d.sentScarce || st.Usable != d.sentUsable
}

// flush sends an entry its report with the current state.
func (d *Daemon) flush(l *link) {
	l.flushing = false
	if l.report == nil || l.owner == "" {
		return
	}
	// The ended runs were this entry's, so the freed room is offered to it first.
	l.report.State = l.shorten(d.stateFor(l, true))
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunReport{RunReport: l.report}})
	l.report = nil
}

// sendStates sends the changed state to the entries.
func (d *Daemon) sendStates() {
	if !d.pending {
		return
	}
	d.pending, d.pendingSoon = false, false
	st := d.runs.State(uptime.Now(), "")
	d.sentScarce, d.sentUsable = st.Scarce, st.Usable
	d.offer.Restart(uptime.Now(), slices.Collect(maps.Keys(d.owners)))
	d.sendTurn()
}

// sendTurn sends the state to the entries whose turn it is, and schedules the next turn while scarce room is left.
func (d *Daemon) sendTurn() {
	now := uptime.Now()
	st := d.runs.State(now, "")
	slots := st.Slots
	if !st.Scarce || slots == 0 {
		slots = len(d.owners)
	}
	d.offer.Extend(slots)
	for _, l := range d.owners {
		// An entry that sends no orders gets the state with its next heartbeat.
		if s := d.state(l); isRelevant(l.sentState, s) && (d.offer.Active(now, l.owner) || s.Usable != l.sentState.GetUsable()) {
			d.sendState(l, s)
		}
	}
	if !d.offer.Done() && !d.turnScheduled {
		d.turnScheduled = true
		time.AfterFunc(scarceDelay, func() { d.loop.Post(func(time.Time) { d.nextTurn() }) })
	}
}

// nextTurn offers room that is still free to further entries, unless a new state is about to be sent.
func (d *Daemon) nextTurn() {
	d.turnScheduled = false
	if !d.pending && !d.offer.Done() {
		d.sendTurn()
	}
}

// sendTo sends the current state to one entry.
func (d *Daemon) sendTo(l *link) { d.sendState(l, d.state(l)) }

func (d *Daemon) sendState(l *link, s *wire.TargetState) {
	d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunReport{RunReport: &wire.RunReport{State: l.shorten(s)}}})
}

// shorten records the state as sent to the entry and returns it, in brief form if the target's own properties are unchanged.
func (l *link) shorten(s *wire.TargetState) *wire.TargetState {
	known := l.sentState != nil && sameTarget(l.sentState, s)
	l.sentState = s
	if !known {
		return s
	}
	return &wire.TargetState{
		Brief: true, UsedMillicores: s.UsedMillicores, UsedMemoryMb: s.UsedMemoryMb, Usable: s.Usable, PacePermille: s.PacePermille,
		Seen: s.Seen, Held: s.Held, FailingEighths: s.FailingEighths, Beside: s.Beside,
	}
}

// sameTarget reports whether two states agree in the target's own properties.
func sameTarget(a, b *wire.TargetState) bool {
	return a.Service == b.Service && a.DataCentre == b.DataCentre && a.Process == b.Process && a.Millicores == b.Millicores &&
		a.MemoryMb == b.MemoryMb && slices.Equal(a.Labels, b.Labels)
}

// sameState reports whether two states are equal; a is nil if none was sent.
func sameState(a, b *wire.TargetState) bool {
	return a != nil && sameTarget(a, b) && a.Held == b.Held && a.Usable == b.Usable && a.PacePermille == b.PacePermille &&
		a.UsedMillicores == b.UsedMillicores && a.UsedMemoryMb == b.UsedMemoryMb && a.Seen == b.Seen && a.FailingEighths == b.FailingEighths &&
		slices.Equal(a.Beside, b.Beside)
}

func (d *Daemon) state(l *link) *wire.TargetState { return d.stateFor(l, d.offer.Offered(l.owner)) }

// stateFor returns the state for an entry. Scarce room is held from entries to which it isn't offered, a full target from all.
func (d *Daemon) stateFor(l *link, offered bool) *wire.TargetState {
	s := d.runs.State(uptime.Now(), l.owner)
	return &wire.TargetState{
		Service: s.Service, DataCentre: s.DataCentre, Millicores: s.Millicores, MemoryMb: s.MemoryMB,
		UsedMillicores: s.UsedMillicores, UsedMemoryMb: s.UsedMemoryMB, Usable: s.Usable && l.surplusSince.IsZero(),
		PacePermille: uint32(s.Pace * permille), Labels: s.Labels, Process: s.Process, Seen: s.Seen,
		Held: s.Scarce && (s.Slots == 0 || !offered), FailingEighths: uint32(s.Failing), Beside: d.kindsFor(l),
	}
}

// isRelevant reports whether a state has to be sent to an entry: changes at a target that remains held from it don't affect it.
func isRelevant(sent, s *wire.TargetState) bool {
	if sent != nil && sent.Held && s.Held && sent.Usable == s.Usable && sameTarget(sent, s) {
		return false
	}
	return !sameState(sent, s)
}

func endLabel(how string) string {
	switch how {
	case "done", "failed", "stopped", "lapsed", runs.Crashed, runs.Unreachable, runs.NoRoom, runs.Refused, runs.Unknown:
		return how
	}
	return "other"
}

func (d *Daemon) logOwner(message string, l *link) {
	d.log.Info(message, zap.String("entry", l.entry), zap.String("incarnation", l.owner), zap.String("address", l.addr))
}
