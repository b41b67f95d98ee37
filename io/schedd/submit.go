package schedd

import (
	"context"
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/sched"
	"persimmonstage/io/uptime"
)

// Submit submits a job and waits for its outcome; if ctx ends first, which means that the caller has left, the job is cancelled
// unless another caller waits for it.
func (d *Daemon) Submit(ctx context.Context, b *batch.Batch) jobend.Outcome {
	got := make(chan jobend.Outcome, 1)
	began := uptime.Now()
	came := began
	if !b.Arrived.IsZero() {
		came = b.Arrived
	}
	caller := uint64(0) // used only on the loop
	if !d.loop.Post(func(time.Time) {
		caller = d.submit(uptime.Now(), came, b, func(f jobend.Outcome) { got <- f })
	}) {
		return jobend.Outcome{Kind: jobend.Refused, Reason: "stopping", RetryAfter: time.Second}
	}
	select {
	case f := <-got:
		d.metrics.response.WithLabelValues(f.Kind.String()).Observe(uptime.Now().Sub(began).Seconds())
		return f
	case <-ctx.Done():
		d.loop.Post(func(time.Time) { d.sched.Leave(uptime.Now(), b.ID, caller) })
		return jobend.Outcome{Kind: jobend.Cancelled, Reason: sched.CallerLeft}
	}
}

// Cancel withdraws a job and reports whether it was found here; the other entries learn of it through the agents.
func (d *Daemon) Cancel(ctx context.Context, id string) bool {
	return call(ctx, d, func() bool {
		now := uptime.Now()
		d.cancelled.Add(now, id)
		return d.sched.Withdraw(now, id)
	})
}

// Running reports whether this entry has a job that hasn't ended.
func (d *Daemon) Running(ctx context.Context, id string) bool {
	return call(ctx, d, func() bool { return d.sched.Running(id) })
}

// Waiting returns the number of jobs of a route that wait for their first start.
func (d *Daemon) Waiting(ctx context.Context, route string) int {
	return call(ctx, d, func() int { return d.sched.Waiting(route) })
}

// call runs step on the loop and returns its result, or the zero value if ctx or the loop ended before it ran.
func call[T any](ctx context.Context, d *Daemon, step func() T) T {
	var got, none T
	if !d.loop.Call(ctx, func(time.Time) { got = step() }) {
		return none
	}
	return got
}
