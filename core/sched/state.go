package sched

import (
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/fate"
)

// TargetState is what an agent tells of its target; it is plain data.
type TargetState struct {
	Service        string
	Millicores     uint64
	MemoryMB       uint64
	UsedMillicores uint64
	UsedMemoryMB   uint64
	Usable         bool
	Held           bool    // its free room is offered to other entries first
	Pace           float64 // run times relative to the expected ones
	Labels         []string
	Seen           uint64 // the highest attempt of this entry that the used amounts take into account
}

// target is an agent's target; its attempts stay open through a loss of the connection.
type target struct {
	name        string
	incarnation string
	dataCentre  string
	state       TargetState
	connected   bool
	deadAt      time.Time // when nothing of this entry can run there any more, if it isn't connected
	attempts    map[uint64]*attempt
	// What was sent after what state.Seen names.
	sentMillicores uint64
	sentMemoryMB   uint64
	failures       int       // in a row
	outUntil       time.Time // until when it gets one attempt at a time, after failures in a row
}

// attempt is one order to run a task; it is open until its end is known.
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
	forecast forecast // none as long as it seems to end as expected
}

// task is one task of a job.
type task struct {
	done     bool
	attempt  *attempt
	failures int
	number   int
	avoid    *target
	moved    bool // from a target that seemed to be slow
}

// job is a repeatable job from its submission until it is answered and no attempt of it is open.
type job struct {
	batch     *batch.Batch
	arrived   time.Time
	ready     time.Time // before which nothing is placed
	patience  time.Time // by which the first task has to be placed
	objective time.Time
	expected  time.Duration
	tasks     []task
	left      int // tasks that aren't done
	waiting   int // tasks without an attempt that aren't done
	begun     bool
	late      bool          // even an immediate start would miss the objective
	waited    time.Duration // until the first start
	starts    int
	ended     bool
	waiters   []waiter
}

// waiter is a caller that waits for the end of a job.
type waiter struct {
	caller uint64
	end    func(fate.Outcome)
}

// memory is what is kept of an ended job.
type memory struct {
	fate    fate.Outcome
	number  int
	expires time.Time
}
