package queue

import "time"

// Done says that a popped item has ended after a true run time, which is charged in place of the expected one; zero
// for an item that never ran gives the whole charge back.
func (q *Queue[T]) Done(item Item[T], run time.Duration) {
	k := q.find(item.Team, item.Kind)
	if k == nil {
		return
	}
	t := k.team
	q.loan.end(item.size(), item.borrows)
	change := -item.charged
	if run > 0 {
		change += item.cost(run)
		k.learn(run, item.Run)
	}
	k.correct(change, t.now)
	t.correct(change, q.now)
	if k.place >= 0 {
		t.waiting.Fix(k.place)
	}
	if t.place >= 0 {
		q.waiting.Fix(t.place)
	}
	k.running = max(k.running-item.size(), 0)
	t.running = max(t.running-item.size(), 0)
	q.setActive(k)
}
