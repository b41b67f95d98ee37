package owner

import (
	"slices"
	"time"

	"persimmonstage/core/admit"
	"persimmonstage/core/answer"
	"persimmonstage/core/ident"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/target"
)

// record is the owner's state of a submission, from its first arrival until it expires.
type record struct {
	job      *job.Job
	digest   [job.DigestBytes]byte
	shard    int
	epoch    uint64
	state    int
	open     int
	tasks    []taskRow
	waiters  []func(answer.Answer)
	answer   answer.Answer
	accepted time.Time
	forget   time.Time
	longest  time.Duration
	cause    string
	// request is the admission by the gate; gated is set while it still takes up capacity there.
	request admit.Request
	gated   bool
}

// taskRow is one task of a record.
type taskRow struct {
	state    int
	attempts []attempt
	booked   target.ID
	// ordered is set from the sending of the start to the booked target until its end.
	ordered      bool
	wait         time.Duration
	work         time.Duration
	output       []byte
	reason       string
	tries        int
	retryGranted bool
	// busyRefusals counts the refusals because of a long wait; last is the target tried last. maxWait and delay go into the order.
	busyRefusals int
	last         target.ID
	// sentTo lists the agents that may have started the task.
	sentTo  []ident.Ident
	maxWait time.Duration
	delay   time.Duration
}

// attempt is one order or reservation that was sent for a task.
type attempt struct {
	id    uint64
	to    target.ID
	agent string
	name  string
	// resumed is set if an earlier owner sent the order, so that the agent has no attempt of this id.
	resumed bool
}

// ref names a task of a record.
type ref struct {
	rec   *record
	index int
}

func (r *record) key() jobkey.Key { return r.job.Key }

// running reports whether the job has no answer yet.
func (r *record) running() bool { return r.state == stateRunning || r.state == stateCancelling }

// endEvent returns the event of a job whose tasks have all ended.
func (r *record) endEvent() int {
	for i := range r.tasks {
		if r.tasks[i].state != stateDone {
			return onAllEnded
		}
	}
	return onAllDone
}

// notRun reports whether no task of the job can have started.
func (r *record) notRun() bool {
	for i := range r.tasks {
		if !notRun(r.tasks[i].state) {
			return false
		}
	}
	return true
}

// sentTo returns the agents that may have started a task of the job, without duplicates.
func (r *record) sentTo() []ident.Ident {
	var all []ident.Ident
	for i := range r.tasks {
		for _, a := range r.tasks[i].sentTo {
			if !slices.Contains(all, a) {
				all = append(all, a)
			}
		}
	}
	return all
}

// hasWaiting reports whether a task of the job is not known to have been started.
func (r *record) hasWaiting() bool {
	for i := range r.tasks {
		if r.tasks[i].state == stateWaiting {
			return true
		}
	}
	return false
}

// release frees the data that only a running job needs.
func (r *record) release() {
	r.waiters = nil
	for i := range r.job.Tasks {
		r.job.Tasks[i].Payload = nil
	}
}

func (r *record) results() [][]byte {
	out := make([][]byte, len(r.tasks))
	for i := range r.tasks {
		out[i] = r.tasks[i].output
	}
	return out
}

const (
	// stateForgotten marks a record that was dropped; no chart has this state.
	stateForgotten = -1

	// A ref with one of these values in place of a task's index is a timer of the whole record.
	deadlineTimer = -1
	forgetTimer   = -2
	readyTimer    = -3
)

// find returns the attempt with this id, or nil.
func (t *taskRow) find(id uint64) *attempt {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			return &t.attempts[i]
		}
	}
	return nil
}

// drop removes one attempt from the row.
func (t *taskRow) drop(id uint64) {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			return
		}
	}
}

// moveToFront moves one attempt to the front of the row.
func (t *taskRow) moveToFront(id uint64) {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			t.attempts[0], t.attempts[i] = t.attempts[i], t.attempts[0]
			return
		}
	}
}
