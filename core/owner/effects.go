package owner

import (
	"math/rand/v2"
	"time"

	"persimmonstage/core/admit"
	"persimmonstage/core/answer"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/place"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// placer chooses targets and books what it chooses; the owner ends it there, and books where a task goes elsewhere.
type placer interface {
	Sent(team string, id target.ID, c rank.Class, work time.Duration)
	Ended(team string, id target.ID, c rank.Class, work time.Duration)
	Place(now time.Time, rng *rand.Rand, ask *place.Request, out []place.Choice) []place.Choice
}

// bookings is the part of the roster that the owner keeps true: it ends what the placer booked.
type bookings interface {
	Name(id target.ID) string
	Incarnation(id target.ID) string
	SentClass(id target.ID, c rank.Class, v needs.Vector, work time.Duration)
	EndedClass(id target.ID, c rank.Class, v needs.Vector, work time.Duration)
}

// retries bounds how often tasks that were refused before their start are sent again.
type retries interface {
	Started(now time.Time)
	Take() bool
	Next(now, deadline time.Time, attempt int, work time.Duration, rng *rand.Rand) (time.Time, bool)
}

// lease tells whether this entry is still the only one that can serve a shard.
//
// An owner that was cut off may have been replaced, and the next one may have started what this one never sent; without
// the lease "not run" would be said of a job that ran.
type lease interface {
	Holds(shard int) bool
}

// gate bounds what is admitted; the owner tells it what becomes of each job that it admitted.
type gate interface {
	MayStart(team string) bool
	FleetFraction(team string) float64
	Sent(r admit.Request)
	Requeued(r admit.Request)
	Done(r admit.Request)
	Drop(r admit.Request, n int64)
	End(r admit.Request)
}

// effects is what the owner makes happen; the calls return at once.
type effects interface {
	// Start sends an order to an agent's incarnation.
	Start(agent string, o *order.Order)
	// Reserve asks an agent to answer with a grant when the task's turn has come.
	Reserve(agent string, o *order.Order)
	// Withdraw takes attempts back that have not started.
	Withdraw(agent string, attempts []uint64)
	// Query asks an agent what became of attempts whose answers may be lost.
	Query(agent string, attempts []uint64)
	// Repeat asks an agent for the result of a task that it started for an earlier owner.
	Repeat(agent string, shard int, key jobkey.Key, index int)
	// StartSent tells that a start was sent to a target, where it is expected to end after expected, its wait included.
	StartSent(id target.ID, expected time.Duration)
	// StartDropped tells that a start that was sent will have no end at the target: it was refused or withdrawn, or is forgotten.
	StartDropped(id target.ID)
	// StartEnded tells how a started task ended at a target.
	StartEnded(now time.Time, id target.ID, kind string, expected, ran time.Duration, ok bool)
	// JobEnded tells how a job ended.
	JobEnded(now time.Time, key jobkey.Key, kind string, tasks int, accepted, deadline time.Time, ideal time.Duration, a *answer.Answer)
}
