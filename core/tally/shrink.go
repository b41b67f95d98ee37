package tally

import (
	"time"

	"persimmonstage/core/rollup"
)

const (
	// coarse and coarsest are the lengths into which minutes are merged while the log takes none.
	// Every time zone in use today has its midnight on a quarter of an hour of UTC, so no record spans two local days.
	coarse   = 5 * time.Minute
	coarsest = 15 * time.Minute
	// maxQuiet bounds the records made for a stretch in which the process stood still.
	maxQuiet = 24 * time.Hour
)

// shrink brings the closed records under the bound. What is least needed goes first: the resolution of old minutes,
// then their response times, and only then the counts, whose loss the next record states.
func (t *Tally) shrink() {
	bound := t.bound
	if bound <= 0 {
		bound = DefaultBound
	}
	for t.held > bound {
		if !t.mergeOldest(coarse) && !t.mergeOldest(coarsest) && !t.dropTimes() && !t.dropOldest() {
			return
		}
	}
}

// mergeOldest merges the two oldest adjacent records that lie in one block of that width.
func (t *Tally) mergeOldest(width time.Duration) bool {
	for i := 0; i+1 < len(t.closed); i++ {
		a, b := t.closed[i], t.closed[i+1]
		if a.tried || b.tried || !sameBlock(a, b, width) {
			continue
		}
		a.rollup.Merge(b.rollup)
		t.closed = append(t.closed[:i+1], t.closed[i+2:]...)
		t.held -= a.bytes + b.bytes
		a.bytes = a.rollup.Footprint()
		t.held += a.bytes
		return true
	}
	return false
}

func (t *Tally) dropTimes() bool {
	for _, c := range t.closed {
		if c.tried || !c.rollup.DropTimes() {
			continue
		}
		t.held -= c.bytes
		c.bytes = c.rollup.Footprint()
		t.held += c.bytes
		return true
	}
	return false
}

// dropOldest drops the oldest record that may be changed and notes the loss in the one after it, never the last.
func (t *Tally) dropOldest() bool {
	for i := 0; i+1 < len(t.closed); i++ {
		old, next := t.closed[i], t.closed[i+1]
		if old.tried {
			continue
		}
		lose(next.rollup, old.rollup)
		t.held -= old.bytes
		t.closed = append(t.closed[:i], t.closed[i+1:]...)
		return true
	}
	return false
}

// sameBlock reports whether b continues a within one block; a record after a clock set back does not.
func sameBlock(a, b *closed, width time.Duration) bool {
	return a.rollup.To.Equal(b.rollup.From) && a.rollup.From.Truncate(width).Equal(b.rollup.From.Truncate(width))
}

// lose notes in next that old is dropped.
func lose(next, old *rollup.Rollup) {
	next.AddLoss(old.LostFrom, old.LostTo, old.LostJobs)
	next.AddLoss(old.From, old.To, old.Jobs())
}
