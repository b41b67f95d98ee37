package ledger

import "fmt"

// Reason is why a start isn't recorded.
type Reason string

// The reasons.
const (
	Duplicate Reason = "duplicate" // this task was started before; its record has the outcome
	Withdrawn Reason = "withdrawn" // this task was refused before, and may run elsewhere
	Different Reason = "different" // the id belongs to a submission with different content
	Expired   Reason = "expired"   // the deadline has passed, so that the record would expire at once
	Full      Reason = "full"      // the limit of recorded tasks is reached
)

// Refusal is the error for a start that must not be made.
type Refusal struct {
	Reason Reason
	Key    Key
}

// Error returns the reason and the task's key.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not started: %s: %s/%s task %d", r.Reason, r.Key.Team, r.Key.ID, r.Key.Index)
}
