package timers

import (
	"time"

	"persimmonstage/core/heap"
)

// Timers is a priority queue of values by due time; the zero value is empty and ready to use.
type Timers[T any] struct {
	heap *heap.Heap[timer[T]]
}

type timer[T any] struct {
	at    time.Time
	value T
}

// Len returns the number of values in the queue.
func (t *Timers[T]) Len() int {
	if t.heap == nil {
		return 0
	}
	return t.heap.Len()
}

// Add schedules v for the time at.
func (t *Timers[T]) Add(at time.Time, v T) {
	if t.heap == nil {
		t.heap = heap.New(earlier[T], func(timer[T], int) {})
	}
	t.heap.Push(timer[T]{at, v})
}

func earlier[T any](a, b timer[T]) bool { return a.at.Before(b.at) }

// PopDue removes and returns the earliest value whose time isn't after now, or false if there is none.
func (t *Timers[T]) PopDue(now time.Time) (T, bool) {
	var none T
	if t.Len() == 0 || t.heap.Min().at.After(now) {
		return none, false
	}
	return t.heap.Remove(0).value, true
}

// Next returns the time of the earliest value, or false if there is none.
func (t *Timers[T]) Next() (time.Time, bool) {
	if t.Len() == 0 {
		return time.Time{}, false
	}
	return t.heap.Min().at, true
}
