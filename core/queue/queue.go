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
	teams   map[string]*team[T]
	waiting *heap.Heap[*team[T]]
	entries map[string]*entry[T]
	due     *heap.Heap[*entry[T]]
	free    []*entry[T]
	now     float64 // virtual time of the teams
	seq     uint64
	weights weights
	loan    loan
	shares  int
	bytes   int64
	items   bound.Bound
	memory  bound.Bound

	passedTeams []*team[T]
	passedKinds []*kind[T]
}

// SetBounds limits the waiting items and their bytes; what already waits stays.
func (q *Queue[T]) SetBounds(items, bytes int64) {
	q.init()
	q.items = bound.New(items)
	q.memory = bound.New(bytes)
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
	q.items = bound.New(defaultItems)
	q.memory = bound.New(defaultBytes)
	q.waiting = heap.New(
		func(a, b *team[T]) bool { return a.before(&b.share) },
		func(t *team[T], i int) { t.place = i },
	)
	q.due = heap.New(
		func(a, b *entry[T]) bool { return a.item.Deadline.Before(b.item.Deadline) },
		func(e *entry[T], i int) { e.due = i },
	)
}
