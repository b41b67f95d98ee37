package ledger

import "fmt"

// Reason says why a start isn't recorded.
type Reason string

// The reasons.
const (
	Duplicate Reason = "duplicate" // this task was started before; the record tells how it went
	Withdrawn Reason = "withdrawn" // this task was refused before, and may run elsewhere
	Different Reason = "different" // the id belongs to a submission with other content
	Expired   Reason = "expired"   // the deadline has passed, so that the record would not last
	Full      Reason = "full"      // no room for another record
)

// Refusal is the error of a start that must not be made.
type Refusal struct {
	Reason Reason
	Key    Key
}

// Error returns the reason and the task's key.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not started: %s: %s/%s task %d", r.Reason, r.Key.Team, r.Key.ID, r.Key.Index)
}
