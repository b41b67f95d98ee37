package sched

import (
	"time"

	"persimmonstage/core/fate"
)

// Start is an order to attempt a task at a target; it is plain data.
type Start struct {
	Attempt    uint64
	Task       string
	Number     int
	Millicores uint64
	MemoryMB   uint64
	ExpectedMS uint32
	Payload    []byte
}

// effects carries out what the scheduler decides.
type effects interface {
	// Start orders an attempt at a target.
	Start(target string, s *Start)
	// Stop orders the end of an attempt, whose end is still to be reported.
	Stop(target string, attempt uint64)
	// JobAccepted tells that a job was taken.
	JobAccepted(id, route string, tasks int, expected, objective, deadline time.Duration)
	// JobStarted tells how long a job waited until its first task was sent.
	JobStarted(waited time.Duration)
	// AttemptEnded tells an end of an attempt other than success.
	AttemptEnded(task string, number int, target, how string, ran time.Duration)
	// TaskMoved tells that an attempt is stopped in favour of another target, with the time that it would have taken on.
	TaskMoved(id, target string, leftMS int64)
	// JobEnded tells the end of a job.
	JobEnded(st *JobSummary)
}

// JobSummary is what led to the end of a job; it is plain data.
type JobSummary struct {
	ID        string
	Route     string
	Fate      fate.Outcome
	Tasks     int
	Done      int           // tasks that ended well
	Starts    int           // attempts ordered
	Expected  time.Duration // run time of a task at a pace of 1
	Objective time.Duration // after its arrival
	Waited    time.Duration // until the first task was sent, or until now
	Took      time.Duration // from arrival to end
	Load      float64       // part of all room in use at the last placement
	Targets   int           // connected ones
	Open      []string      // where attempts were open, with their pace
}
