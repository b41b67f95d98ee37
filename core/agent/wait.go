package agent

import (
	"time"

	"persimmonstage/core/order"
)

// busy reports whether an order's expected wait here exceeds its MaxWait. Capacity is free only if it is withheld from the
// waiting shares or too small for them, so an order that fits doesn't wait for the end of a running task.
func (a *Agent) busy(now time.Time, o *order.Order) bool {
	if o.MaxWait <= 0 {
		return false
	}
	wait := a.queue.Wait(o.Key.Team, o.Kind)
	if !a.room.Fits(o.Key.Team, o.Kind, o.Needs) {
		wait += a.firstEnd(now)
	}
	return wait > o.MaxWait
}

// firstEnd returns the expected time until the first running task ends; overdue tasks are left out.
func (a *Agent) firstEnd(now time.Time) time.Duration {
	var first time.Duration
	for _, at := range a.running {
		left := at.began.Add(at.order.Expected).Sub(now)
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
