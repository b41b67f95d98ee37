package queue

import "time"

// Remove takes out the item with a key in O(log n) of its share; it was never popped.
func (q *Queue[T]) Remove(key string) (Item[T], bool) {
	e, ok := q.entries[key]
	if !ok {
		var none Item[T]
		return none, false
	}
	q.leave(e)
	return q.recycle(e), true
}

// Expire takes out every item whose deadline is not after now, earliest first; call it about once a second, because the
// queue learns the time from it.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	q.init()
	q.loan.advance(now)
	var expired []Item[T]
	for q.due.Len() > 0 {
		e := q.due.Min()
		if e.item.Deadline.After(now) {
			break
		}
		q.leave(e)
		expired = append(expired, q.recycle(e))
	}
	return expired
}
