package agent

import (
	"time"

	"persimmonstage/core/ledger"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/result"
	"persimmonstage/core/slots"
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

// room is what the target has free; slots.Slots corrects the declared needs, plain takes them as they are.
type room interface {
	// Fits reports whether a task can start now.
	Fits(team, kind string, declared needs.Vector) bool
	// Room returns what can still be given away; nothing while no start is possible.
	Room() needs.Vector
	// Size returns the part of the target that a task takes, in thousandths.
	Size(team, kind string, declared needs.Vector) int64
	// Take holds what a task needs until End; both are called only where starts need a lease.
	Take(l slots.Lease) error
	End(key string, now time.Time) bool
	// Snapshot describes it for a state dump; nil if there is nothing to add.
	Snapshot() *slots.Snapshot
}

// leases asks the platform for leases; the calls return at once.
type leases interface {
	// Take asks for a lease, which is of no use after a time; the answer comes by Leased.
	Take(l slots.Lease, until time.Time)
	// End gives back a lease that was asked for, whether or not its answer has come.
	End(key string)
}
