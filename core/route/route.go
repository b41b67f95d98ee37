package route

import "time"

// Route is the configuration of a queue: the requests that it matches, the targets that serve it, and how its jobs are scheduled.
type Route struct {
	Name          string        // of the queue, unique in a configuration
	Host          string        // in the callers' requests, without a port
	Prefix        string        // of the request path
	Service       string        // pool of targets that run its tasks
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // failed attempts of a task after which its job fails
	BaseObjective time.Duration // fixed part of the objective, added to Stretch times the work
	Stretch       float64       // factor on the work in the objective
	Timeout       time.Duration // after which a caller gets an answer at the latest; 0 is no limit
}

// Objective returns the time from arrival within which a job should be answered; work is the run time of its longest task.
func (r *Route) Objective(work time.Duration) time.Duration {
	return r.BaseObjective + time.Duration(r.Stretch*float64(work))
}
