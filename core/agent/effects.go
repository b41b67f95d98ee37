package agent

import (
	"time"

	"persimmonstage/core/ledger"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/result"
	"persimmonstage/core/slots"
)

// fence checks whether the owner that sent an order still owns the shard.
type fence interface {
	Admit(now time.Time, shard int, epoch uint64, owner string) error
}

// starts is the ledger of starts; Start is called before the task is sent to the target.
type starts interface {
	Start(now time.Time, key ledger.Key, shard int, digest ledger.Digest, deadline time.Time) error
	Finish(key ledger.Key, shard int, output []byte, failed bool) bool
	Task(key ledger.Key, shard int) (ledger.Task, bool)
}

// effects carries out the agent's decisions; the calls don't block.
type effects interface {
	// Run sends a task to the target.
	Run(o *order.Order)
	// Grant informs the owner that capacity is held for its reservation.
	Grant(owner string, attempt uint64)
	// Refuse informs the owner that an attempt was not and will not be started.
	Refuse(owner string, attempt uint64, reason string)
	// End sends a task's result to the owner, and to the current owner of the shard if it is another.
	End(owner string, shard int, r *result.Result)
}

// room is the free capacity of the target; slots.Slots corrects the declared needs, declaredRoom uses them unchanged.
type room interface {
	// Fits reports whether a task can start now.
	Fits(team, kind string, declared needs.Vector) bool
	// Room returns the free capacity; it is zero while no start is possible.
	Room() needs.Vector
	// Size returns the share of the target that a task takes, in thousandths.
	Size(team, kind string, declared needs.Vector) int64
	// Take holds a task's needs until End; both are called only if starts need a lease.
	Take(l slots.Lease) error
	End(key string, now time.Time) bool
	// Snapshot returns the state for a dump, or nil if there is nothing to add.
	Snapshot() *slots.Snapshot
}

// leases requests leases from the platform; the calls don't block.
type leases interface {
	// Take requests a lease, which is useless after until; the answer arrives through LeaseAnswered.
	Take(l slots.Lease, until time.Time)
	// End ends a requested lease, whether or not its answer has arrived.
	End(key string)
}
