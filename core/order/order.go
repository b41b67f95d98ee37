package order

import (
	"time"

	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
)

// Order instructs an agent to start one task once.
//
// Attempt is unique within the incarnation of the sending entry. A task that was refused before its start may be ordered again
// under another attempt; its Key and Index stay the same and enforce the at-most-one-start rule.
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
	// MaxWait is the longest expected wait with which the target accepts the task; zero means no limit.
	MaxWait time.Duration
	// Delay shifts the task's position in its share's queue to a time this much after its arrival, so that small jobs go first.
	Delay   time.Duration
	Payload []byte
	Digest  [job.DigestBytes]byte
}
