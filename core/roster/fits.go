package roster

import (
	"fmt"
	"time"

	"persimmonstage/core/needs"
)

// TooLargeError reports that a task doesn't fit any known target, even an empty one.
type TooLargeError struct {
	need    string
	wanted  int
	largest int
}

// Error names the need, the amount requested and the largest amount available.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("needs.%s: %d, the largest that a known target has is %d", e.need, e.wanted, e.largest)
}

// Need returns the name of the need that is too large.
func (e *TooLargeError) Need() string { return e.need }

// Wanted returns the amount of the need that the task requests.
func (e *TooLargeError) Wanted() int { return e.wanted }

// Largest returns the largest amount of the need among the targets that satisfy the dimensions checked before it.
func (e *TooLargeError) Largest() int { return e.largest }

// replacementWindow is how long the capacity of a target that left still counts, as a similar one may be about to replace it.
const replacementWindow = time.Minute

// capacityCount counts the known targets of one capacity that aren't leaving; until is when one that left stops counting.
type capacityCount struct {
	targets int
	until   time.Time
}

// countCapacity adds a target to the count of its capacity.
func (r *Roster) countCapacity(t *row) {
	if r.capacities == nil {
		r.capacities = map[needs.Vector]capacityCount{}
	}
	s := r.capacities[t.capacity]
	s.targets++
	r.capacities[t.capacity] = s
	t.counted = true
}

// uncountCapacity subtracts a target that leaves, is removed or changes its capacity.
func (r *Roster) uncountCapacity(t *row) {
	if !t.counted {
		return
	}
	s := r.capacities[t.capacity]
	s.targets--
	s.until = r.now.Add(replacementWindow)
	r.capacities[t.capacity] = s
	t.counted = false
}

// expireCapacities deletes the capacities that no target has had for the replacement window.
func (r *Roster) expireCapacities() {
	for capacity, s := range r.capacities {
		if s.targets == 0 && !r.now.Before(s.until) {
			delete(r.capacities, capacity)
		}
	}
}

// CheckFits returns a *TooLargeError if v doesn't fit any known target, even an empty one. Ejected targets and those that left
// a short while ago count, as they may come back. With no known target it returns nil, as the task isn't at fault.
func (r *Roster) CheckFits(v needs.Vector) error {
	var nearest needs.Vector
	known := false
	for capacity := range r.capacities {
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

// nearer reports whether capacity a is closer to holding v than b: its first missing dimension comes later, or is larger.
func nearer(v, a, b needs.Vector) bool {
	lackA, lackB := v.FirstExceeding(a), v.FirstExceeding(b)
	if lackA == lackB {
		return a.Amount(lackA) > b.Amount(lackB)
	}
	return needs.DimensionIndex(lackA) > needs.DimensionIndex(lackB)
}
