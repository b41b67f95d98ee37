package roster

import (
	"fmt"

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
	return fmt.Sprintf("needs %s %d: the largest that a known target has is %d", e.need, e.wanted, e.largest)
}

// Need returns the name of the need that is too large.
func (e *TooLargeError) Need() string { return e.need }

// Wanted returns how much of the need the task wants.
func (e *TooLargeError) Wanted() int { return e.wanted }

// Largest returns the most of the need that a target offers which could hold the needs named before it.
func (e *TooLargeError) Largest() int { return e.largest }

// FitsEver returns a *TooLargeError if no known target, empty, could hold v; targets that are leaving don't count,
// ejected ones do, as they may come back. With no target known at all it returns nil: that is no fault of the task.
func (r *Roster) FitsEver(v needs.Vector) error {
	for g := range r.groups {
		if r.GroupHolds(g, v) && r.groupFits(g, v) {
			return nil
		}
	}
	nearest, known := r.nearest(v)
	need := v.Lacks(nearest)
	if !known || need == "" {
		return nil
	}
	return &TooLargeError{need: need, wanted: v.Amount(need), largest: nearest.Amount(need)}
}

// groupFits reports whether a listed target of a group, empty, holds v.
func (r *Roster) groupFits(g int, v needs.Vector) bool {
	for _, i := range r.groups[g].room {
		if v.Fits(r.rows[i].capacity) {
			return true
		}
	}
	for _, i := range r.groups[g].full {
		if v.Fits(r.rows[i].capacity) {
			return true
		}
	}
	return false
}

// nearest returns the capacity that holds the most of the needs of v, in their order, and the most of the first that it
// doesn't hold; a task that fits is one that every need is held of.
func (r *Roster) nearest(v needs.Vector) (needs.Vector, bool) {
	var best needs.Vector
	known := false
	for i := range r.rows {
		t := &r.rows[i]
		if !t.known || t.leaving {
			continue
		}
		if !known || nearer(v, t.capacity, best) {
			best = t.capacity
		}
		known = true
	}
	return best, known
}

// nearer reports whether capacity a comes nearer to holding v than b.
func nearer(v, a, b needs.Vector) bool {
	lackA, lackB := v.Lacks(a), v.Lacks(b)
	if lackA == lackB {
		return a.Amount(lackA) > b.Amount(lackB)
	}
	return needs.Rank(lackA) > needs.Rank(lackB)
}
