package queue

import "time"

// Done records that a popped item has ended and charges its actual run time in place of the expected one; zero, for an
// item that never ran, refunds the whole charge.
func (q *Queue[T]) Done(item Item[T], run time.Duration) {
	k := q.find(item.Team, item.Kind)
	if k == nil {
		return
	}
	t := k.team
	q.lending.end(item.size(), item.borrows)
	change := -item.charged
	if run > 0 {
		change += item.cost(run)
		k.learnRunTime(run, item.Run)
	}
	k.adjustCharge(change, t.virtualTime)
	t.adjustCharge(change, q.virtualTime)
	if k.index >= 0 {
		t.waiting.Fix(k.index)
	}
	if t.index >= 0 {
		q.waiting.Fix(t.index)
	}
	k.running = max(k.running-item.size(), 0)
	t.running = max(t.running-item.size(), 0)
	q.updateActive(k)
}
