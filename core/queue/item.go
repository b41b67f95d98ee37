package queue

import "time"

// Item is a unit of waiting work.
type Item[T any] struct {
	Key       string        // unique in the queue
	Team      string        // first level of the shares
	Kind      string        // second level of the shares
	Urgency   int           // higher goes first within its share
	OrderTime time.Time     // earlier goes first among equal urgency; zero is the earliest
	Deadline  time.Time     // earlier goes first among equal order times; zero means none
	Run       time.Duration // expected run time
	Size      int64         // dominant share of the host's capacity, in thousandths; below 1 counts as 1
	Bytes     int64         // memory that it holds while it waits
	Value     T

	borrows bool    // runs on borrowed capacity
	charged float64 // host-seconds charged to its share
}

// minRun is the least run time that is charged, so that every item has a cost.
const minRun = time.Millisecond

func (it *Item[T]) size() int64 { return max(it.Size, 1) }

// cost returns the host-seconds of a run of the given length.
func (it *Item[T]) cost(run time.Duration) float64 {
	return max(run, minRun).Seconds() * float64(it.size()) / wholeHost
}

type entry[T any] struct {
	item          Item[T]
	kind          *kind[T]
	seq           uint64
	index         int // in the heap of its share
	deadlineIndex int // in the heap of deadlines; -1 without a deadline
}

func (e *entry[T]) before(o *entry[T]) bool {
	a, b := &e.item, &o.item
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	if !a.OrderTime.Equal(b.OrderTime) {
		return a.OrderTime.Before(b.OrderTime)
	}
	if !a.Deadline.Equal(b.Deadline) {
		return sooner(a.Deadline, b.Deadline)
	}
	return e.seq < o.seq
}

// sooner orders deadlines; a zero deadline comes last.
func sooner(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return b.IsZero() && !a.IsZero()
	}
	return a.Before(b)
}
