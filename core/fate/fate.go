package fate

import "time"

// Kind is the way in which a job ended.
type Kind int

// The ways in which a job can end.
const (
	Done       Kind = iota // every task ended well
	Failed                 // a task failed as often as it may
	Refused                // nothing of it ran or will run
	Unfinished             // it was begun and given up; the caller may send it again
	Cancelled              // its caller withdrew it or left
)

var names = [...]string{"done", "failed", "refused", "unfinished", "cancelled"}

// String returns the kind's name in logs.
func (k Kind) String() string { return names[k] }

// Outcome is the one end of a job; it is plain data.
type Outcome struct {
	Kind       Kind
	Reason     string        // a word for logs and callers; empty for Done
	RetryAfter time.Duration // after which a refused job has better prospects
}
