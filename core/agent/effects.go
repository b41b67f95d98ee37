package agent

import (
	"time"

	"persimmonstage/core/ledger"
	"persimmonstage/core/order"
	"persimmonstage/core/result"
)

// fence says whether the owner that sent an order may still be obeyed.
type fence interface {
	Admit(now time.Time, shard int, epoch uint64, owner string) error
}

// starts is the record of starts; Start is called before the task is sent to the target.
type starts interface {
	Start(now time.Time, key ledger.Key, shard int, digest ledger.Digest, deadline time.Time) error
	Finish(key ledger.Key, shard int, output []byte, failed bool) bool
	Task(key ledger.Key, shard int) (ledger.Task, bool)
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
