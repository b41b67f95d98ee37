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

// record is the owner's memory of a submission, from its first arrival until it is forgotten.
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
	// request is what the gate admitted; gated tells that it still holds room of the gate.
	request admit.Request
	gated   bool
}

// taskRow is one task of a record.
type taskRow struct {
	state    int
	attempts []attempt
	booked   target.ID
	// ordered tells that the start was sent to the booked target and its end is not known.
	ordered bool
	wait    time.Duration
	work    time.Duration
	output  []byte
	reason  string
	tries   int
	granted bool
	// moves counts the refusals because of the wait, of which last gave the last one; maxWait and delay go with the order.
	moves int
	last  target.ID
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
	// resumed tells that an earlier owner ordered it, so that the agent does not know it by this id.
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

// endEvent gives the event of a job whose tasks have all ended.
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

// sentTo lists the agents that may have started a task of the job, each once.
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

// missing reports whether a task of the job is not known to have been started.
func (r *record) missing() bool {
	for i := range r.tasks {
		if r.tasks[i].state == stateWaiting {
			return true
		}
	}
	return false
}

// release frees what only a running job needs.
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
	// disowned marks a record that is no longer this entry's; no chart has this state.
	disowned = -1

	// A ref with one of these in place of a task's index is a timer of the whole record.
	deadlineTimer = -1
	forgetTimer   = -2
	readyTimer    = -3
)

// find gives one attempt of the row.
func (t *taskRow) find(id uint64) *attempt {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			return &t.attempts[i]
		}
	}
	return nil
}

// drop takes one attempt out of the row.
func (t *taskRow) drop(id uint64) {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			return
		}
	}
}

// first moves one attempt to the front of the row.
func (t *taskRow) first(id uint64) {
	for i := range t.attempts {
		if t.attempts[i].id == id {
			t.attempts[0], t.attempts[i] = t.attempts[i], t.attempts[0]
			return
		}
	}
}
