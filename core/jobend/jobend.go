package jobend

import "time"

// Kind is the kind of a job's outcome.
type Kind int

// Kinds of outcomes.
const (
	Done       Kind = iota // every task succeeded
	Failed                 // a task failed as often as its route allows
	Refused                // no task was started or will be
	Unfinished             // it was started but not completed; the caller may submit it again
	Cancelled              // it was withdrawn, or its last caller left
)

var kindNames = [...]string{"done", "failed", "refused", "unfinished", "cancelled"}

// String returns the kind's name as used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Outcome is the final outcome of a job.
type Outcome struct {
	Kind       Kind
	Reason     string        // reason word for logs and callers; empty for Done
	RetryAfter time.Duration // time after which the caller of a refused job should retry
}
