package roster

import (
	"fmt"
	"time"

	"persimmonstage/core/needs"
)

// TooLargeError says that no known target, empty, could hold a task.
type TooLargeError struct {
	need    string
	wanted  int
	largest int
}

// Error names the need, what was wanted and the largest that there is.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("needs.%s: %d, the largest that a known target has is %d", e.need, e.wanted, e.largest)
}

// Need returns the name of the need that is too large.
func (e *TooLargeError) Need() string { return e.need }

// Wanted returns how much of the need the task wants.
func (e *TooLargeError) Wanted() int { return e.wanted }

// Largest returns the most of the need that a target offers which could hold the needs named before it.
func (e *TooLargeError) Largest() int { return e.largest }

// replaceTime is how long the capacity of a target that left still counts, as one like it may be about to replace it.
const replaceTime = time.Minute

// size is the targets of one capacity: how many are known and stay, and until when one that left counts.
type size struct {
	known int
	until time.Time
}

// count takes a target of a capacity that came.
func (r *Roster) count(t *row) {
	if r.sizes == nil {
		r.sizes = map[needs.Vector]size{}
	}
	s := r.sizes[t.capacity]
	s.known++
	r.sizes[t.capacity] = s
	t.counted = true
}

// uncount takes a target that leaves, is gone or changes its capacity.
func (r *Roster) uncount(t *row) {
	if !t.counted {
		return
	}
	s := r.sizes[t.capacity]
	s.known--
	s.until = r.now.Add(replaceTime)
	r.sizes[t.capacity] = s
	t.counted = false
}

// forgetSizes drops the capacities that nothing has any more.
func (r *Roster) forgetSizes() {
	for capacity, s := range r.sizes {
		if s.known == 0 && !r.now.Before(s.until) {
			delete(r.sizes, capacity)
		}
	}
}

// CheckFits returns a *TooLargeError if no known target, empty, could hold v. Targets that are ejected count, and those that
// left a short while ago, as they may come back. With no target known at all it returns nil: that is no fault of the task.
func (r *Roster) CheckFits(v needs.Vector) error {
	var nearest needs.Vector
	known := false
	for capacity := range r.sizes {
		if v.Fits(capacity) {
			return nil
		}
		if !known || nearer(v, capacity, nearest) {
			nearest = capacity
		}
		known = true
	}
	if !known {
		return nil
	}
	need := v.FirstExceeding(nearest)
	return &TooLargeError{need: need, wanted: v.Amount(need), largest: nearest.Amount(need)}
}

// nearer reports whether capacity a comes nearer to holding v than b.
func nearer(v, a, b needs.Vector) bool {
	lackA, lackB := v.FirstExceeding(a), v.FirstExceeding(b)
	if lackA == lackB {
		return a.Amount(lackA) > b.Amount(lackB)
	}
	return needs.DimensionIndex(lackA) > needs.DimensionIndex(lackB)
}
