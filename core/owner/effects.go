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

// placer chooses targets and books the chosen ones. The owner ends each booking, and adds one itself if a task goes to another
// target.
type placer interface {
	Sent(team string, id target.ID, c rank.Class, work time.Duration)
	Ended(team string, id target.ID, c rank.Class, work time.Duration)
	Place(now time.Time, rng *rand.Rand, ask *place.Request, out []place.Choice) []place.Choice
}

// bookings is the part of the roster that the owner keeps up to date: it ends what the placer booked.
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

// lease reports whether this entry is still the only one that can serve a shard.
//
// An owner that was cut off may have been replaced, and the next one may have started tasks that this one never sent.
// Without this check a job that ran could be answered "not run".
type lease interface {
	Holds(shard int) bool
}

// gate limits what is admitted; the owner reports the progress of each admitted job to it.
type gate interface {
	MayStart(team string) bool
	FleetFraction(team string) float64
	Sent(r admit.Request)
	Requeued(r admit.Request)
	Done(r admit.Request)
	Drop(r admit.Request, n int64)
	End(r admit.Request)
}

// effects carries out the owner's decisions; the calls don't block.
type effects interface {
	// Start sends an order to an incarnation of an agent.
	Start(agent string, o *order.Order)
	// Reserve asks an agent to answer with a grant when the task is next in its queue.
	Reserve(agent string, o *order.Order)
	// Withdraw cancels attempts that have not started.
	Withdraw(agent string, attempts []uint64)
	// Query asks an agent for the outcome of attempts whose answers may be lost.
	Query(agent string, attempts []uint64)
	// Repeat asks an agent for the result of a task that it started for an earlier owner.
	Repeat(agent string, shard int, key jobkey.Key, index int)
	// StartSent reports a start sent to a target; expected is the time until its end, its wait included.
	StartSent(id target.ID, expected time.Duration)
	// StartDropped reports that a start that was sent will have no end at the target: it was refused, withdrawn or forgotten.
	StartDropped(id target.ID)
	// StartEnded reports how a started task ended at a target.
	StartEnded(now time.Time, id target.ID, kind string, expected, ran time.Duration, ok bool)
	// JobEnded reports how a job ended.
	JobEnded(
		now time.Time, key jobkey.Key, kind string, tasks int, accepted, deadline time.Time, ideal time.Duration, a *answer.Answer,
	)
}
