package order

import (
	"time"

	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
)

// Order tells an agent to start one task once.
//
// Attempt is unique within the incarnation of the sending entry: a task that was refused before its start
// may be ordered again under another attempt, while Key and Index stay and carry the at-most-one-start rule.
type Order struct {
	Attempt  uint64
	Key      jobkey.Key
	Index    int
	Shard    int
	Epoch    uint64
	Kind     string
	Needs    needs.Vector
	Deadline time.Time
	Expected time.Duration
	// MaxWait is the longest wait for which the task stays at the target; zero sets no bound.
	MaxWait time.Duration
	// Delay is by how much later than its arrival the task takes its place in its share, so that small jobs go first.
	Delay   time.Duration
	Payload []byte
	Digest  [job.DigestBytes]byte
}
