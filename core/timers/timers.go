package timers

import (
	"time"

	"persimmonstage/core/heap"
)

// Timers keeps values until the times at which they are due; the zero value is empty and ready.
type Timers[T any] struct {
	heap *heap.Heap[row[T]]
}

type row[T any] struct {
	at    time.Time
	value T
}

// Len gives the number of values that are kept.
func (t *Timers[T]) Len() int {
	if t.heap == nil {
		return 0
	}
	return t.heap.Len()
}

// Add keeps v until at.
func (t *Timers[T]) Add(at time.Time, v T) {
	if t.heap == nil {
		t.heap = heap.New(earlier[T], func(row[T], int) {})
	}
	t.heap.Push(row[T]{at, v})
}

func earlier[T any](a, b row[T]) bool { return a.at.Before(b.at) }

// Due takes out the earliest value whose time is not after now.
func (t *Timers[T]) Due(now time.Time) (T, bool) {
	var none T
	if t.Len() == 0 || t.heap.Min().at.After(now) {
		return none, false
	}
	return t.heap.Remove(0).value, true
}

// Next gives the time of the earliest value, and false if there is none.
func (t *Timers[T]) Next() (time.Time, bool) {
	if t.Len() == 0 {
		return time.Time{}, false
	}
	return t.heap.Min().at, true
}
