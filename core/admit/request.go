package admit

import "time"

// Request describes a job to the gate.
type Request struct {
	Team     string
	Kind     string
	Tasks    int64
	Bytes    int64         // memory that the job holds until its end
	Run      time.Duration // expected run time of the longest task
	Size     int64         // fraction of a host that a task takes, in thousandths; below 1 counts as 1
	Work     float64       // expected host-seconds of all tasks; zero means that it is computed from Run and Size
	Issued   time.Time     // zero means unknown, and the job counts as patient
	Deadline time.Time     // zero means none
}

const wholeHost = 1000.0 // thousandths

func (r *Request) hostFraction() float64 { return float64(max(r.Size, 1)) / wholeHost }

// work returns the host-seconds of all tasks.
func (r *Request) work() float64 {
	if r.Work > 0 {
		return r.Work
	}
	return r.Run.Seconds() * r.hostFraction() * float64(r.Tasks)
}

// workPerTask returns the host-seconds of one task.
func (r *Request) workPerTask() float64 {
	return r.work() / float64(max(r.Tasks, 1))
}
