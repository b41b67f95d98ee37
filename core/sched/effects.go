package sched

import (
	"time"

	"persimmonstage/core/jobend"
)

// Start is an order to a target to attempt a task.
type Start struct {
	Attempt    uint64
	Task       string
	Route      string
	Number     int
	Millicores uint64
	MemoryMB   uint64
	ExpectedMS uint32
	Payload    []byte
	Process    uint64    // the target's process that the task was placed on
	StopBy     time.Time // when the run is stopped at the latest
}

// effects carries out the scheduler's decisions.
type effects interface {
	// Start orders a target to start an attempt.
	Start(target string, s *Start)
	// Stop orders a target to stop an attempt; the attempt stays open until its end is reported.
	Stop(target string, attempt uint64)
	// JobAccepted is called for every new job, before it may be refused.
	JobAccepted(a *JobArrival)
	// JobClaimed is called for a job that this entry may have runs of until a time at which another entry may have been handed it.
	JobClaimed(id string, until time.Time)
	// JobStarted is called when the first task of a job is sent, with the time that the job waited.
	JobStarted(waited time.Duration)
	// AttemptEnded is called for every attempt that ended other than done.
	AttemptEnded(task string, number int, target, how string, ran time.Duration)
	// AttemptOutlasted is called for every attempt that ends so late that another entry may have been handed its job meanwhile.
	AttemptOutlasted(task string, number int, target, how string, by time.Duration)
	// TaskMoved is called when an attempt is stopped in favour of another target, with its remaining run time.
	TaskMoved(id, target string, leftMS int64)
	// RouteConfined is called when a route is confined to some targets because it crashes them, or is released again.
	RouteConfined(route string, confined bool, targets []string)
	// JobEnded is called when a job has an outcome.
	JobEnded(st *JobSummary)
}

// JobArrival is what is known of a job when it is accepted, for logs.
type JobArrival struct {
	ID         string
	Route      string
	Tasks      int
	Millicores uint64        // of a task
	Expected   time.Duration // run time of a task on a target of pace 1
	Objective  time.Duration // until then the answer is due
	Deadline   time.Duration // until then the caller waits
	Claimed    time.Duration // until then another entry may have runs of it, 0 if none
}

// JobSummary is the outcome of a job and how it came about, for logs and metrics.
type JobSummary struct {
	ID        string
	Route     string
	Outcome   jobend.Outcome
	Tasks     int
	Done      int           // tasks that succeeded
	Starts    int           // attempts ordered
	Expected  time.Duration // run time of a task on a target of pace 1
	Objective time.Duration // measured from the arrival
	Waited    time.Duration // until the first task was sent, or until the end
	Took      time.Duration // from arrival to end
	Load      float64       // fraction of the targets' cores in use at the last placement
	Targets   int           // connected targets
	Open      []string      // targets of the open attempts, with their pace
	Forecasts int           // attempts that ended well after a forecast
	Early     int           // those of them that ended before their earliest possible end by forecast
}
