package schedd

import (
	"context"
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/fate"
	"persimmonstage/core/sched"
	"persimmonstage/io/uptime"
)

// Submit hands a job in and waits for its end; if ctx ends first, which means that the caller has left, the job ends unless
// another caller waits for it.
func (d *Daemon) Submit(ctx context.Context, b *batch.Batch) fate.Outcome {
	got := make(chan fate.Outcome, 1)
	began := uptime.Now()
	caller := uint64(0) // the loop's
	if !d.loop.Post(func(time.Time) { caller = d.sched.Submit(uptime.Now(), b, func(f fate.Outcome) { got <- f }) }) {
		return fate.Outcome{Kind: fate.Refused, Reason: "stopping", RetryAfter: time.Second}
	}
	select {
	case f := <-got:
		d.metrics.response.WithLabelValues(f.Kind.String()).Observe(uptime.Now().Sub(began).Seconds())
		return f
	case <-ctx.Done():
		d.loop.Post(func(time.Time) { d.sched.Leave(uptime.Now(), b.ID, caller) })
		return fate.Outcome{Kind: fate.Cancelled, Reason: sched.CallerLeft}
	}
}

// Cancel withdraws a job and reports whether it was there.
func (d *Daemon) Cancel(ctx context.Context, id string) bool {
	return call(ctx, d, func() bool { return d.sched.Cancel(uptime.Now(), id, sched.Withdrawn) })
}

// Running reports whether a job is here that has no end yet.
func (d *Daemon) Running(ctx context.Context, id string) bool {
	return call(ctx, d, func() bool { return d.sched.Running(id) })
}

// Waiting returns how many jobs of a route wait for their first start here.
func (d *Daemon) Waiting(ctx context.Context, route string) int {
	return call(ctx, d, func() int { return d.sched.Waiting(route) })
}

// call steps the scheduler and returns what the step gave, or nothing if ctx or the loop ended before it ran.
func call[T any](ctx context.Context, d *Daemon, step func() T) T {
	var got, none T
	if !d.loop.Call(ctx, func(time.Time) { got = step() }) {
		return none
	}
	return got
}
