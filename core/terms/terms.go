package terms

import (
	"fmt"
	"time"

	"persimmonstage/core/runs"
)

// Terms are the platform's times that the runs of a lost submission have to keep; the zero value knows none.
type Terms struct {
	resubmission time.Duration // from a caller's leave until it hands its job in again
}

// LimitError tells that a time of the platform leaves too little for the leases of runs.
type LimitError struct {
	Term   string // resubmission, lease or stop
	Value  time.Duration
	Limit  time.Duration
	Reason string
}

// Error returns a message with the term, its value and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: %d ms, limit %d ms: %s", e.Term, e.Value.Milliseconds(), e.Limit.Milliseconds(), e.Reason)
}

// The names of the terms in a LimitError.
const (
	Resubmission = "resubmission"
	Lease        = "lease"
	Stop         = "stop"
)

// New returns the terms of a platform on which callers hand a job in again resubmission after they left, a target grants leases of at
// most lease, and a stop takes at most stop. It returns a LimitError if the runs of a lost owner may outlast the resubmission.
func New(resubmission, lease, stop time.Duration) (Terms, error) {
	switch {
	case lease < runs.Lease:
		return Terms{}, &LimitError{Lease, lease, runs.Lease, "shorter than the lease of runs"}
	case resubmission < runs.Expiry:
		return Terms{}, &LimitError{Resubmission, resubmission, runs.Expiry, "runs of a lost entry may not have ended by then"}
	case stop > runs.Expiry-runs.Tenure-runs.Lease:
		return Terms{}, &LimitError{Stop, stop, runs.Expiry - runs.Tenure - runs.Lease, "a stop outlasts the lease of a lost entry's run"}
	}
	return Terms{resubmission: resubmission}, nil
}

// ResubmitAt returns the earliest time at which another entry may be handed a job whose request arrived at arrived; the zero time if that
// isn't known.
func (t Terms) ResubmitAt(arrived time.Time) time.Time {
	if t.resubmission == 0 {
		return time.Time{}
	}
	return arrived.Add(t.resubmission)
}
