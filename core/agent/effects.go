package agent

import (
	"time"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/order"
	"persimmonstage/core/past"
	"persimmonstage/core/result"
)

// fence says whether an order's epoch may still be obeyed.
type fence interface {
	Admit(now time.Time, shard int, epoch uint64) error
}

// ledger is the record of starts; a claim is made before the task is sent to the target.
type ledger interface {
	// Claim records the start of a task and reports false when the task was started before.
	Claim(now time.Time, o *order.Order) bool
	// End records how a claimed task ended.
	End(now time.Time, r *result.Result)
	// Recorded gives the record of a task, if it was started.
	Recorded(key jobkey.Key, index int) (past.Past, bool)
}

// effects is what the agent makes happen; the calls return at once.
type effects interface {
	// Run sends a task to the target.
	Run(o *order.Order)
	// Grant tells the owner that a reservation's turn has come.
	Grant(owner string, attempt uint64)
	// Refuse proves to the owner that an attempt was not and will not be started.
	Refuse(owner string, attempt uint64, reason string)
	// End tells the owner, and the present owner of the shard if that is another, how a task ended.
	End(owner string, shard int, r *result.Result)
}
