package loop

import (
	"context"
	"sync"
	"time"
)

const maxQueuedSteps = 4096

// Loop runs posted steps one after another, so that the state they touch needs no lock.
//
// The queue of steps is bounded: Post blocks while it is full, which applies backpressure to the connection that the step
// came from.
type Loop struct {
	steps chan func(now time.Time)
	done  chan struct{}
	stop  sync.Once
}

// New returns a Loop whose steps are executed by Run.
func New() *Loop {
	return &Loop{steps: make(chan func(time.Time), maxQueuedSteps), done: make(chan struct{})}
}

// Post queues step and returns false if the loop has ended.
func (l *Loop) Post(step func(now time.Time)) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.steps <- step:
		return true
	case <-l.done:
		return false
	}
}

// Call runs step on the loop and waits for it; it returns false if the loop or ctx ended first.
func (l *Loop) Call(ctx context.Context, step func(now time.Time)) bool {
	ran := make(chan struct{})
	ok := l.Post(func(now time.Time) {
		step(now)
		close(ran)
	})
	if !ok {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Run executes steps until ctx ends, and calls tick once per period.
func (l *Loop) Run(ctx context.Context, period time.Duration, tick func(now time.Time)) {
	defer l.stop.Do(func() { close(l.done) })
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case step := <-l.steps:
			step(time.Now())
		case now := <-t.C:
			tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// Sleep waits for dur or until ctx ends.
func Sleep(ctx context.Context, dur time.Duration) {
	t := time.NewTimer(dur)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
