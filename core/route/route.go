package route

import "time"

// Route names who may use a queue, which targets serve it, and how its jobs are treated; it is plain data.
type Route struct {
	Name          string        // of the queue, unique in a configuration
	Host          string        // that callers ask for, without a port
	Prefix        string        // of the callers' paths
	Service       string        // the pool of targets that runs its tasks
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // runs of a task that may fail
	BaseObjective time.Duration // of the objective, on top of the stretched work
	Stretch       float64       // how many times the work alone the objective allows
	Timeout       time.Duration // after which a caller gets an answer at the latest; 0 is none
}

// Objective returns how long after its arrival a job should be answered whose longest task takes work.
func (r *Route) Objective(work time.Duration) time.Duration {
	return r.BaseObjective + time.Duration(r.Stretch*float64(work))
}
