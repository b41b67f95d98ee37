package crash

import "time"

// Report lists the tasks that ran at a target when its process crashed; it is plain data.
type Report struct {
	ID    int64     // identifies the crash among those of the target
	At    time.Time // of the clock of the process that holds the report
	Tasks []Task
}

// Task is a task that ran, or may have run, at the time of the crash.
type Task struct {
	Name  string
	Route string
	Ran   time.Duration // since its start was ordered
}
