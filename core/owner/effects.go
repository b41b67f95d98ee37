package owner

import (
	"math/rand/v2"
	"time"

	"persimmonstage/core/answer"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/past"
	"persimmonstage/core/place"
	"persimmonstage/core/target"
)

// placer chooses targets and books what it chooses.
type placer interface {
	Place(now time.Time, rng *rand.Rand, ask *place.Ask, out []place.Choice) []place.Choice
}

// bookings is the part of the roster that the owner keeps true: it ends what the placer booked.
type bookings interface {
	Incarnation(id target.ID) string
	Sent(id target.ID, v needs.Vector, work time.Duration)
	Ended(id target.ID, v needs.Vector, work time.Duration)
}

// retries bounds how often a task that was refused before its start is sent again.
type retries interface {
	// Started feeds the budget with a first try.
	Started(now time.Time)
	// Next gives the time of the next try, never past the deadline.
	Next(now time.Time, rng *rand.Rand, deadline time.Time) time.Time
}

// effects is what the owner makes happen; the calls return at once.
type effects interface {
	// Start sends an order to an agent's incarnation.
	Start(agent string, o *order.Order)
	// Reserve asks an agent to answer with a grant when the task's turn has come.
	Reserve(agent string, o *order.Order)
	// Withdraw takes attempts back that have not started.
	Withdraw(agent string, attempts []uint64)
	// Ended tells how a started task ended at a target.
	Ended(now time.Time, id target.ID, kind string, expected, ran time.Duration, ok bool)
	// Closed tells how a job ended.
	Closed(now time.Time, key jobkey.Key, kind string, tasks int, accepted time.Time, ideal time.Duration, a *answer.Answer)
}

// history tells of submissions that earlier owners of a shard may have accepted.
type history interface {
	// Fresh reports whether a task without a record is certain never to have been ordered by an earlier owner.
	Fresh(shard int, key jobkey.Key, issued time.Time) bool
	// Found gives what the agents' ledgers hold of the job.
	Found(shard int, key jobkey.Key) []past.Past
}
