package proof

import (
	"cmp"
	"time"

	"persimmonstage/core/heap"
)

// simEvent is something that happens at a time; of those at the same time, the one that was scheduled first comes first.
type simEvent struct {
	at     time.Time
	number int
	do     func()
}

func (e simEvent) before(other simEvent) bool {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.number, other.number)) < 0
}

// timeline is a simulated clock and the events to come.
type timeline struct {
	now       time.Time
	events    *heap.Heap[simEvent]
	scheduled int // events so far
}

func newTimeline() timeline {
	return timeline{now: time.Unix(1000, 0), events: heap.New(simEvent.before, func(simEvent, int) {})}
}

func (l *timeline) after(d time.Duration, do func()) {
	l.scheduled++
	l.events.Push(simEvent{l.now.Add(d), l.scheduled, do})
}

func (l *timeline) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}

// runFor lets the events of a period happen.
func (l *timeline) runFor(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		e := l.events.Remove(0)
		l.now = e.at
		e.do()
	}
}
