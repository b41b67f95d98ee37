package tally

import (
	"time"

	"persimmonstage/core/rollup"
)

const (
	// coarse and coarsest are the block lengths into which minutes are merged while the log is unavailable.
	// Midnight of every time zone in use falls on a quarter of an hour of UTC, so no record spans two local days.
	coarse   = 5 * time.Minute
	coarsest = 15 * time.Minute
	// maxIdle bounds the period for which empty records are made after the process was paused.
	maxIdle = 24 * time.Hour
)

// shrink reduces the closed records to the memory bound. It first lowers the resolution of old minutes, then drops their
// response times, and last their counts, whose loss is recorded in the next record.
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

// mergeOldest merges the two oldest adjacent records within one block of the given width.
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

// dropOldest drops the oldest record that was not tried and adds its loss to the next one; the last record is kept.
func (t *Tally) dropOldest() bool {
	for i := 0; i+1 < len(t.closed); i++ {
		old, next := t.closed[i], t.closed[i+1]
		if old.tried {
			continue
		}
		recordLoss(next.rollup, old.rollup)
		t.held -= old.bytes
		t.closed = append(t.closed[:i], t.closed[i+1:]...)
		return true
	}
	return false
}

// sameBlock reports whether b directly follows a in the same block; a record after the clock was set back does not.
func sameBlock(a, b *closedRecord, width time.Duration) bool {
	return a.rollup.To.Equal(b.rollup.From) && a.rollup.From.Truncate(width).Equal(b.rollup.From.Truncate(width))
}

// recordLoss adds the jobs and losses of the dropped record old to next.
func recordLoss(next, old *rollup.Rollup) {
	next.AddLoss(old.LostFrom, old.LostTo, old.LostJobs)
	next.AddLoss(old.From, old.To, old.Jobs())
}
