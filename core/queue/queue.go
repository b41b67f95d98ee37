package queue

import (
	"persimmonstage/core/bound"
	"persimmonstage/core/heap"
)

const (
	wholeHost     = 1000.0    // thousandths
	defaultItems  = 20_000    // items
	defaultBytes  = 256 << 20 // bytes
	defaultWeight = 1
	maxShares     = 8192 // team and kind pairs
	maxKinds      = 64   // of one team
)

// Queue holds waiting items and serves them by weighted shares; the zero value is ready, with default bounds.
type Queue[T any] struct {
	teams       map[string]*team[T]
	waiting     *heap.Heap[*team[T]]
	entries     map[string]*entry[T]
	deadlines   *heap.Heap[*entry[T]]
	freeEntries []*entry[T]
	virtualTime float64 // of the teams
	seq         uint64
	weights     weightSums
	lending     lending
	shares      int
	bytes       int64
	itemBound   bound.Bound
	byteBound   bound.Bound

	bypassedTeams []*team[T]
	bypassedKinds []*kind[T]
}

// SetBounds limits the waiting items and their bytes; items that already wait stay.
func (q *Queue[T]) SetBounds(items, bytes int64) {
	q.init()
	q.itemBound = bound.New(items)
	q.byteBound = bound.New(bytes)
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Bytes returns the memory that waiting items hold.
func (q *Queue[T]) Bytes() int64 { return q.bytes }

func (q *Queue[T]) init() {
	if q.entries != nil {
		return
	}
	q.teams = map[string]*team[T]{}
	q.entries = map[string]*entry[T]{}
	q.itemBound = bound.New(defaultItems)
	q.byteBound = bound.New(defaultBytes)
	q.waiting = heap.New(
		func(a, b *team[T]) bool { return a.before(&b.share) },
		func(t *team[T], i int) { t.index = i },
	)
	q.deadlines = heap.New(
		func(a, b *entry[T]) bool { return a.item.Deadline.Before(b.item.Deadline) },
		func(e *entry[T], i int) { e.deadlineIndex = i },
	)
}
