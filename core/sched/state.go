package sched

import (
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/pairs"
)

// TargetState is the state of a target as reported by its agent.
type TargetState struct {
	Service        string
	DataCentre     string // that the target announces; empty if that of its agent counts
	Millicores     uint64
	MemoryMB       uint64
	UsedMillicores uint64
	UsedMemoryMB   uint64
	Usable         bool
	Held           bool    // its free capacity is offered to other entries first
	Failing        float64 // recent fraction of the runs that failed there
	Pace           float64 // run times relative to the expected ones
	Labels         []string
	Process        uint64       // identifies the target's process
	Seen           uint64       // the highest attempt of this entry that the used amounts include
	Beside         []pairs.Kind // the kind of each run there that is one of ApartKinds
}

// target is a target with its open attempts, which are kept when the connection to its agent is lost.
type target struct {
	name        string
	incarnation string
	dataCentre  string
	state       TargetState
	connected   bool
	evacuated   bool      // its data centre is
	expiresAt   time.Time // if disconnected: from when on no attempt of this entry can be running there
	attempts    map[uint64]*attempt
	// The capacity taken by attempts that were sent after state.Seen.
	sentMillicores uint64
	sentMemoryMB   uint64
	failures       int       // consecutive
	isolatedFor    string    // the only route that may use it; empty if it isn't isolated
	pausedUntil    time.Time // no attempts until then, after consecutive failures
}

// attempt is one order to run a task; it is open until the target or a timeout confirms its end.
type attempt struct {
	id       uint64
	job      *job
	index    int
	name     string
	number   int
	target   *target
	expected time.Duration // at a pace of 1
	sent     time.Time
	stopping bool
	forecast forecast  // zero as long as it is expected to end on time
	floor    time.Time // the latest of its earliest possible ends by forecast
}

type task struct {
	done     bool
	attempt  *attempt
	failures int
	number   int
	avoid    *target
	moved    bool // away from a slow target
	ranAt    *target
	ratio    float64 // of its run time to the expected one, at the pace of ranAt; zero until it is done
}

// job is a repeatable job; it exists from its submission until it has an outcome and no open attempt.
type job struct {
	batch            *batch.Batch
	arrived          time.Time
	ready            time.Time // no task is started before
	startDeadline    time.Time // the job is refused if no task was started by then
	objective        time.Time
	expected         time.Duration
	estimate         time.Duration // the expected run time at its arrival
	longest          time.Duration // of its tasks that are done, at a pace of 1
	long             bool          // found under way to take longer than expected
	forecasts        int           // attempts that ended well after a forecast
	early            int           // those of them that ended before their earliest possible end by forecast
	tasks            []task
	left             int // unfinished tasks
	waiting          int // unfinished tasks without an attempt
	started          bool
	late             bool          // would miss the objective even if started now
	overShare        bool          // its route is above its share in an overload
	waited           time.Duration // until the first start
	starts           int
	ended            bool
	claimMade        bool
	claimSent        bool      // to an agent
	covered          time.Time // by the claim
	resubmitAt       time.Time // when another entry may be handed the job, or start it as the last claim has ended; zero if unknown
	waiters          []waiter
	measured         []pairs.Sample // tasks that have run to their end
	measuredExpected time.Duration  // expected when the first of them was sent
}

// waiter is a caller waiting for a job's outcome.
type waiter struct {
	caller uint64
	end    func(jobend.Outcome)
	left   func() bool // see batch.Batch.Left; may be nil
}

// endedJob is the outcome of an ended job, kept for repeated requests.
type endedJob struct {
	outcome jobend.Outcome
	number  int
	expires time.Time
}

// isFinal reports whether a repeated submission gets the outcome; else the job runs anew.
func (m *endedJob) isFinal() bool {
	switch m.outcome.Kind {
	case jobend.Done, jobend.Failed:
		return true
	case jobend.Cancelled:
		return m.outcome.Reason == Withdrawn
	}
	return false
}
