package schedd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/claims"
	"persimmonstage/core/sched"
	"persimmonstage/io/frame"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// effects carries out the scheduler's decisions; it is called on the loop.
type effects struct{ d *Daemon }

// Start adds the order to start an attempt to the target's orders.
func (e effects) Start(target string, s *sched.Start) {
	l := e.d.linkWithOrders(target)
	if l == nil {
		return
	}
	e.d.metrics.starts.Inc()
	l.orders.Starts = append(l.orders.Starts, &wire.RunStart{
		Attempt: s.Attempt, Task: s.Task, Number: uint32(s.Number), Millicores: s.Millicores, MemoryMb: s.MemoryMB,
		ExpectedMs: s.ExpectedMS, Payload: s.Payload, Route: s.Route, Process: s.Process, LeftMs: wire.LeftMS(uptime.Now(), s.StopBy),
	})
}

// Stop adds the order to stop an attempt to the target's orders.
func (e effects) Stop(target string, attempt uint64) {
	if l := e.d.linkWithOrders(target); l != nil {
		e.d.metrics.stops.Inc()
		l.orders.Stops = append(l.orders.Stops, attempt)
	}
}

// JobClaimed tells the other entries, through the agents, that this one may have runs of a job until a time.
func (e effects) JobClaimed(id string, until time.Time) {
	e.d.metrics.claims.Inc()
	e.d.claimSerial++
	e.d.claims.Make(uptime.Now(), claims.Claim{Job: id, Holder: e.d.holder, Serial: e.d.claimSerial, Until: until})
}

// JobStarted observes how long a job waited for its first start.
func (e effects) JobStarted(waited time.Duration) { e.d.metrics.waited.Observe(waited.Seconds()) }

// JobAccepted logs a new job, so that there is a record of it if the entry crashes.
func (e effects) JobAccepted(a *sched.JobArrival) {
	if a.Claimed > 0 {
		e.d.metrics.claimed.Inc()
	}
	e.d.log.Info("job taken", zap.String("id", a.ID), zap.String("route", a.Route), zap.Int("tasks", a.Tasks),
		zap.Uint64("millicores", a.Millicores), zap.Int64("expected-ms", a.Expected.Milliseconds()),
		zap.Int64("objective-ms", a.Objective.Milliseconds()), zap.Int64("deadline-ms", a.Deadline.Milliseconds()),
		zap.Int64("claimed-ms", a.Claimed.Milliseconds()),
		zap.Int64("configuration", e.d.doc.Version()))
}

// AttemptEnded logs the end of an attempt that wasn't successful.
func (e effects) AttemptEnded(task string, number int, target, how string, ran time.Duration) {
	e.d.log.Info("attempt ended", zap.String("task", task), zap.Int("number", number), zap.String("agent", target),
		zap.String("how", how), zap.Int64("ran-ms", ran.Milliseconds()))
}

// AttemptOutlasted counts and logs an attempt during which another entry may have been handed its job.
func (e effects) AttemptOutlasted(task string, number int, target, how string, by time.Duration) {
	e.d.metrics.outlasted.Inc()
	e.d.log.Warn("attempt outlasted resubmission", zap.String("task", task), zap.Int("number", number), zap.String("agent", target),
		zap.String("how", how), zap.Int64("by-ms", by.Milliseconds()))
}

// TaskMoved counts and logs that a task is moved from a slow target.
func (e effects) TaskMoved(id, target string, leftMS int64) {
	e.d.metrics.moves.Inc()
	e.d.log.Info("task moved", zap.String("id", id), zap.String("agent", target), zap.Int64("left-ms", leftMS))
}

// RouteConfined counts and logs that a route is confined to isolated targets or released.
func (e effects) RouteConfined(route string, confined bool, targets []string) {
	e.d.metrics.confinements.Inc()
	e.d.log.Warn("route confined", zap.String("route", route), zap.Bool("confined", confined), zap.Strings("agents", targets))
}

// JobEnded counts and logs the outcome of a job.
func (e effects) JobEnded(st *sched.JobSummary) {
	e.d.metrics.jobs.WithLabelValues(st.Outcome.Kind.String()).Inc()
	forecasts, early := zap.Skip(), zap.Skip()
	if st.Forecasts > 0 {
		forecasts, early = zap.Int("forecasts", st.Forecasts), zap.Int("early", st.Early)
	}
	e.d.log.Info("job ended", zap.String("id", st.ID), zap.String("route", st.Route), zap.String("fate", st.Outcome.Kind.String()),
		zap.String("reason", st.Outcome.Reason), zap.Int("tasks", st.Tasks), zap.Int("done", st.Done), zap.Int("starts", st.Starts),
		zap.Int64("expected-ms", st.Expected.Milliseconds()), zap.Int64("objective-ms", st.Objective.Milliseconds()), zap.Int64("waited-ms", st.Waited.Milliseconds()),
		zap.Int64("took-ms", st.Took.Milliseconds()), zap.Int("load-percent", int(percent*st.Load)),
		forecasts, early, zap.Int("agents", st.Targets), zap.Strings("open", st.Open), zap.Int64("configuration", e.d.doc.Version()))
}

const percent = 100

// linkWithOrders returns the connection of a target with its pending orders, which are sent once the steps already posted to the
// loop are done; nil if the target isn't connected.
func (d *Daemon) linkWithOrders(target string) *link {
	l := d.byName[target]
	if l == nil {
		return nil
	}
	if l.orders == nil {
		l.orders = &wire.RunOrders{}
		d.dirty = append(d.dirty, l)
	}
	if !d.flushPosted {
		d.flushPosted = true
		go d.loop.Post(func(time.Time) { d.flush() })
	}
	return l
}

func (d *Daemon) flush() {
	d.flushPosted = false
	for _, l := range d.dirty {
		for _, part := range splitOrders(l.orders) {
			d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunOrders{RunOrders: part}})
		}
		l.orders = nil
	}
	d.dirty = d.dirty[:0]
}

// ordersLimit is the size of the tasks' data from which on further orders go into another frame; frame.ControlLimit bounds the frame.
const ordersLimit = frame.ControlLimit / 4

// splitOrders splits orders so that each part fits into a control frame. The stops come first, as an agent processes them.
func splitOrders(o *wire.RunOrders) []*wire.RunOrders {
	parts := []*wire.RunOrders{{Stops: o.Stops}}
	size := 0
	for _, s := range o.Starts {
		last := parts[len(parts)-1]
		if size > 0 && size+len(s.Payload) > ordersLimit {
			last, size = &wire.RunOrders{}, 0
			parts = append(parts, last)
		}
		last.Starts = append(last.Starts, s)
		size += len(s.Payload)
	}
	return parts
}
