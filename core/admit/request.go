package admit

import "time"

// Request is what the gate has to know of a job.
type Request struct {
	Team     string
	Kind     string
	Tasks    int64
	Bytes    int64         // memory that the job holds until its end
	Run      time.Duration // expected run time of the longest task
	Size     int64         // part of a host that a task takes, in thousandths; below 1 counts as 1
	Work     float64       // expected host-seconds of all tasks; zero means that each takes Run and Size
	Issued   time.Time     // zero means unknown, and then the job is taken for patient
	Deadline time.Time     // zero means none
}

const wholeHost = 1000.0 // thousandths

func (r *Request) part() float64 { return float64(max(r.Size, 1)) / wholeHost }

// work returns the host-seconds of all tasks.
func (r *Request) work() float64 {
	if r.Work > 0 {
		return r.Work
	}
	return r.Run.Seconds() * r.part() * float64(r.Tasks)
}

// each returns the host-seconds of one task.
func (r *Request) each() float64 {
	return r.work() / float64(max(r.Tasks, 1))
}
