package schedd

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/strain"
	"persimmonstage/io/uptime"
)

// delays measures how late this process handles events; its methods may be called from any goroutine.
type delays struct {
	mu      sync.Mutex
	strain  strain.Strain
	probing atomic.Bool // a step that measures the loop's queue is in it
}

// observe takes an event that came at a time and is handled now, and reports whether the process is overloaded and that has changed.
func (q *delays) observe(now, came time.Time, observe func(s *strain.Strain, now time.Time, delay time.Duration)) (overloaded, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.strain.Overloaded()
	observe(&q.strain, now, max(0, now.Sub(came)))
	return q.strain.Overloaded(), q.strain.Overloaded() != before
}

// refuses reports whether a new job should be refused.
func (q *delays) refuses() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.strain.Refuses()
}

// probe measures the loop's queue, as there may be no requests.
func (d *Daemon) probe(now time.Time) {
	if d.delays.probing.Swap(true) {
		return
	}
	go d.loop.Post(func(time.Time) {
		d.delays.probing.Store(false)
		d.isOverloaded(uptime.Now(), now, (*strain.Strain).Probe)
	})
}

// isOverloaded judges an event that came at a time, and reports whether this process has too little processor time for its callers.
func (d *Daemon) isOverloaded(now, came time.Time, observe func(s *strain.Strain, now time.Time, delay time.Duration)) bool {
	overloaded, changed := d.delays.observe(now, came, observe)
	if changed {
		d.log.Warn("overload of this process", zap.Bool("overloaded", overloaded), zap.Int64("delay-ms", now.Sub(came).Milliseconds()))
	}
	return overloaded
}

// submit hands a job to the scheduler unless this process is overloaded; w is called as by Sched.Submit. A job that is known already is
// never refused, as it may have run. It is called on the loop.
func (d *Daemon) submit(now, came time.Time, b *batch.Batch, w func(jobend.Outcome)) uint64 {
	if d.isOverloaded(now, came, (*strain.Strain).Observe) && !d.sched.Knows(b) && d.delays.refuses() {
		d.metrics.strained.Inc()
		d.sched.RecordRefused(now, b)
		d.log.Info("job refused by overload of this process", zap.String("id", b.ID), zap.Int64("delay-ms", now.Sub(came).Milliseconds()))
		w(jobend.Outcome{Kind: jobend.Refused, Reason: "overloaded", RetryAfter: time.Second})
		return 0
	}
	b.ClaimedUntil = d.claims.Until(b.ID)
	return d.sched.Submit(now, b, w)
}

// Relieving reports whether the balancer should use other entries for new connections, as this process is late.
func (d *Daemon) Relieving() bool {
	d.delays.mu.Lock()
	defer d.delays.mu.Unlock()
	return d.delays.strain.Relieving(uptime.Now())
}

// MovesCaller reports whether the connection of an answer should be closed, so that its caller connects to another entry.
func (d *Daemon) MovesCaller() bool {
	d.delays.mu.Lock()
	defer d.delays.mu.Unlock()
	moves := d.delays.strain.Moves(uptime.Now())
	if moves {
		d.metrics.callersMoved.Inc()
	}
	return moves
}
