package sched

import "persimmonstage/core/fate"

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
	// Placed tells that the first task of a job was sent to a target, after how long a wait.
	Placed(id, target string, waitedMS int64)
	// Moved tells that an attempt is stopped in favour of another target, with the time that it would have taken on.
	Moved(id, target string, leftMS int64)
	// Answered tells the end of a job.
	Answered(id, route string, f fate.Fate)
}
