package batch

import (
	"strconv"
	"strings"
	"time"

	"persimmonstage/core/route"
)

// Batch is a repeatable job as submitted by its caller; it isn't changed afterwards.
type Batch struct {
	ID           string
	Route        *route.Route
	Tasks        int
	Millicores   uint64        // per task
	MemoryMB     uint64        // per task
	Declared     time.Duration // run time of a task as declared by the caller; 0 if unknown
	Label        string        // label that a target must have; empty if any target will do
	MaxPerTarget int           // most tasks of the job that may run on one target at a time; 0 is unlimited
	Payload      []byte        // the same for all tasks
	Deadline     time.Time
	// Arrived is when the request had arrived at the host; zero if unknown.
	Arrived time.Time
	// ResubmitAt is when another entry may be handed the job if its caller left, unseen, as soon as the request arrived; zero if unknown.
	ResubmitAt time.Time
	// ArrivalKnown is set if ResubmitAt counts from the arrival of the request at the host, else it counts from its reading.
	ArrivalKnown bool
	// ClaimedUntil is until when another entry may have runs of the job; nothing is started before.
	ClaimedUntil time.Time
	HeldUp       bool // its request may have been held up on the way until after its caller left
	// Left reports whether the caller's connection has ended, even if the process hasn't read that yet; nil if it can't be told. It is
	// called before tasks are started, so it must not wait.
	Left func() bool
}

// TaskName returns the name under which a task is sent to its target: job, occurrence, step and index.
func (b *Batch) TaskName(index int) string {
	return b.ID + ".0.0." + strconv.Itoa(index)
}

// JobOf returns the id of the job of a task by its name.
func JobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
