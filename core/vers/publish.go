package vers

import (
	"fmt"
	"time"

	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
)

// ConflictError reports that the base of a publication isn't the version in force.
type ConflictError struct {
	base, current int64
	changed       []string
}

// Error returns a message with both versions and the keys that changed in between.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force, not %d; changed since: %v", e.current, e.base, e.changed)
}

// Base returns the version that the publication was based on.
func (e *ConflictError) Base() int64 { return e.base }

// Current returns the version in force.
func (e *ConflictError) Current() int64 { return e.current }

// Changed returns the keys that changed between the two, or none when the base is no longer kept.
func (e *ConflictError) Changed() []string { return e.changed }

// Conflict returns the error for a publication based on base.
func (h *History) Conflict(base int64) *ConflictError {
	changes, _ := h.Changed(base, h.version)
	return &ConflictError{base: base, current: h.version, changed: delta.Names(changes)}
}

// Propose returns the record that would make doc the next version; a base that isn't in force gives a *ConflictError.
func (h *History) Propose(id string, base int64, author string, when time.Time, doc fold.Document) ([]byte, error) {
	if base != h.version {
		return nil, h.Conflict(base)
	}
	r := record{Type: typeChange, ID: id, Author: author, When: when, Base: base, Sum: sumText(doc.Sum())}
	full := r
	text := string(doc.TOML())
	full.Document = &text
	r.Changes = h.doc.Diff(doc)
	small, large := r.encode(), full.encode()
	if len(small) <= len(large) {
		return small, nil
	}
	return large, nil
}
