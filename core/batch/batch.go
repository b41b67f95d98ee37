package batch

import (
	"strconv"
	"time"

	"persimmonstage/core/route"
)

// Batch is a repeatable job as its caller sent it; it is plain data and isn't changed after its submission.
type Batch struct {
	ID           string
	Route        *route.Route
	Tasks        int
	Millicores   uint64 // that each task takes
	MemoryMB     uint64 // that each task takes
	Declared     time.Duration
	Label        string // that a target must have; empty is none
	MaxPerTarget int    // how many of the tasks may run at one target together; 0 is any number
	Payload      []byte // the same for all tasks
	Deadline     time.Time
}

// TaskName returns the name of a task for its target: job, occurrence, step and index.
func (b *Batch) TaskName(index int) string {
	return b.ID + ".0.0." + strconv.Itoa(index)
}
