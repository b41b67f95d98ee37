package agent

import (
	"time"

	"persimmonstage/core/order"
)

// busy reports whether an order's expected wait here passes the bound that it carries.
func (a *Agent) busy(now time.Time, o *order.Order) bool {
	if o.MaxWait <= 0 || a.queue.Len() == 0 && a.room.Fits(o.Key.Team, o.Kind, o.Needs) {
		return false
	}
	return a.queue.Wait(o.Key.Team, o.Kind)+a.firstEnd(now) > o.MaxWait
}

// firstEnd gives the expected time until the first of the running tasks ends; one that is overdue says nothing.
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
