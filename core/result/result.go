package result

import (
	"time"

	"persimmonstage/core/jobkey"
)

// Result is the outcome of a started task: the target's output, or the reason of the failure.
type Result struct {
	Attempt uint64
	Key     jobkey.Key
	Index   int
	OK      bool
	Output  []byte
	Reason  string
	Ran     time.Duration
}
