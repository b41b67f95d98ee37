package schedd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/fate"
	"persimmonstage/core/sched"
	"persimmonstage/io/wire"
)

// effects carries out what the scheduler decides; it is called on the loop.
type effects struct{ d *Daemon }

// Start orders an attempt.
func (e effects) Start(target string, s *sched.Start) {
	l := e.d.gather(target)
	if l == nil {
		return
	}
	e.d.metrics.starts.Inc()
	l.orders.Starts = append(l.orders.Starts, &wire.RunStart{
		Attempt: s.Attempt, Task: s.Task, Number: uint32(s.Number), Millicores: s.Millicores, MemoryMb: s.MemoryMB,
		ExpectedMs: s.ExpectedMS, Payload: s.Payload,
	})
}

// Stop orders the end of an attempt.
func (e effects) Stop(target string, attempt uint64) {
	if l := e.d.gather(target); l != nil {
		e.d.metrics.stops.Inc()
		l.orders.Stops = append(l.orders.Stops, attempt)
	}
}

// Placed logs the first start of a job.
func (e effects) Placed(id, target string, waitedMS int64) {
	e.d.metrics.waited.Observe(float64(waitedMS) / float64(time.Second/time.Millisecond))
	e.d.log.Debug("job placed", zap.String("id", id), zap.String("agent", target), zap.Int64("waited-ms", waitedMS))
}

// Moved logs that a task is taken from a slow target.
func (e effects) Moved(id, target string, leftMS int64) {
	e.d.metrics.moves.Inc()
	e.d.log.Info("task moved", zap.String("id", id), zap.String("agent", target), zap.Int64("left-ms", leftMS))
}

// Answered logs the end of a job.
func (e effects) Answered(id, route string, f fate.Fate) {
	e.d.metrics.jobs.WithLabelValues(f.Kind.String()).Inc()
	log := e.d.log.Info
	if f.Kind == fate.Done {
		log = e.d.log.Debug
	}
	log("job ended", zap.String("id", id), zap.String("route", route), zap.String("fate", f.Kind.String()),
		zap.String("reason", f.Reason), zap.Int("agents", len(e.d.byName)))
}

// gather returns the connection of a target with its orders, which go out when the steps that are posted already are done.
func (d *Daemon) gather(target string) *link {
	l := d.byName[target]
	if l == nil {
		return nil
	}
	if l.orders == nil {
		l.orders = &wire.RunOrders{}
		d.dirty = append(d.dirty, l)
	}
	if !d.flushed {
		d.flushed = true
		go d.loop.Post(func(time.Time) { d.flush() })
	}
	return l
}

func (d *Daemon) flush() {
	d.flushed = false
	for _, l := range d.dirty {
		d.control.Send(l.conn, &wire.Frame{Body: &wire.Frame_RunOrders{RunOrders: l.orders}})
		l.orders = nil
	}
	d.dirty = d.dirty[:0]
}
