package queue

import "time"

// Remove removes and returns the waiting item with a key, in O(log n) of its share.
func (q *Queue[T]) Remove(key string) (Item[T], bool) {
	e, ok := q.entries[key]
	if !ok {
		var none Item[T]
		return none, false
	}
	q.dequeue(e)
	return q.recycle(e), true
}

// Expire removes every item whose deadline is not after now, earliest first; call it about once a second, because it also
// advances the lending windows.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	q.init()
	q.lending.advance(now)
	var expired []Item[T]
	for q.deadlines.Len() > 0 {
		e := q.deadlines.Min()
		if e.item.Deadline.After(now) {
			break
		}
		q.dequeue(e)
		expired = append(expired, q.recycle(e))
	}
	return expired
}
