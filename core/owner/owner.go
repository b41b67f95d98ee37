package owner

import (
	"math/rand/v2"
	"time"

	"persimmonstage/core/admit"
	"persimmonstage/core/answer"
	"persimmonstage/core/cause"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/place"
	"persimmonstage/core/prior"
	"persimmonstage/core/result"
	"persimmonstage/core/timers"
)

const (
	digestBytes = job.DigestBytes
	// recordMargin is how long a record is kept after its job's deadline, for resubmissions in transit.
	recordMargin = 30 * time.Second
	// placeFailures is the number of tasks that may find no room in one pass before the rest wait for the next pass.
	placeFailures = 8
	// maxExamined bounds the waiting tasks examined in one pass.
	maxExamined = 64
	// budgetRetryInterval is the time between two requests for a retry token.
	budgetRetryInterval = 50 * time.Millisecond
)

// Owner holds the records of the submissions whose shards this entry owns.
type Owner struct {
	out      effects
	placer   placer
	bookings bookings
	retries  retries
	gate     gate
	lease    lease
	rng      *rand.Rand

	records      map[jobkey.Key]*record
	attempts     map[uint64]ref
	next         uint64
	timers       timers.Timers[ref]
	waiting      []ref
	running      int
	placePending bool
	choices      []place.Choice
	placeTasks   []place.Task
	declared     map[string]time.Duration
}

// New returns an owner without records; a seeded rng makes its random choices repeatable.
func New(out effects, p placer, b bookings, r retries, g gate, l lease, rng *rand.Rand) *Owner {
	return &Owner{
		out: out, placer: p, bookings: b, retries: r, gate: g, lease: l, rng: rng,
		records:  make(map[jobkey.Key]*record),
		attempts: make(map[uint64]ref),
		declared: make(map[string]time.Duration),
	}
}

// SetExpectedRun sets the configured expected run time of a team's kind.
func (o *Owner) SetExpectedRun(team, kind string, d time.Duration) {
	o.declared[team+"/"+kind] = d
}

// HasRecord reports whether the owner has a record of the submission.
func (o *Owner) HasRecord(key jobkey.Key) bool {
	return o.records[key] != nil
}

// Running returns the number of jobs without an answer.
func (o *Owner) Running() int { return o.running }

// RecordCount returns the number of records.
func (o *Owner) RecordCount() int { return len(o.records) }

// Overdue returns the number of running jobs whose deadline has passed.
func (o *Owner) Overdue(now time.Time) int {
	n := 0
	for _, r := range o.records {
		if r.running() && now.After(r.job.Deadline) {
			n++
		}
	}
	return n
}

// Submit accepts a job of a shard, joins it to its record, or answers from the record; w is called exactly once.
//
// admitted is the gate's admission of the job, nil if the gate was bypassed. No task is sent before ready. found lists the
// tasks that agents have started for earlier owners. complete means that no other task can have been started; otherwise the
// tasks that are not in found are never started, and the answer is that the job may have run.
func (o *Owner) Submit(
	now time.Time, j *job.Job, shard int, epoch uint64, found []prior.Start, complete bool, admitted *admit.Request,
	ready time.Time, w func(answer.Answer),
) {
	digest := j.Digest()
	if r := o.records[j.Key]; r != nil {
		o.join(r, digest, w)
		return
	}
	for i := range found {
		if found[i].Digest != digest {
			w(answer.Conflict(j.Key.ID))
			return
		}
	}
	r := o.addRecord(now, j, digest, shard, epoch)
	r.waiters = append(r.waiters, w)
	if admitted != nil {
		r.request, r.gated = *admitted, true
	}
	for i := range found {
		o.resume(r, &found[i])
	}
	if !complete && r.hasWaiting() {
		o.jobEvent(now, r, onUnsure)
		return
	}
	if ready.After(now) {
		o.timers.Add(ready, ref{rec: r, index: readyTimer})
		return
	}
	o.placeJob(now, r)
}

func (o *Owner) addRecord(now time.Time, j *job.Job, digest [digestBytes]byte, shard int, epoch uint64) *record {
	r := &record{
		job: j, digest: digest, shard: shard, epoch: epoch, state: stateRunning,
		open: len(j.Tasks), tasks: make([]taskRow, len(j.Tasks)), accepted: now, forget: j.Deadline.Add(recordMargin),
	}
	for i := range r.tasks {
		r.tasks[i].state = stateWaiting
	}
	o.records[j.Key] = r
	o.running++
	o.timers.Add(j.Deadline, ref{rec: r, index: deadlineTimer})
	o.timers.Add(r.forget, ref{rec: r, index: forgetTimer})
	return r
}

func (o *Owner) join(r *record, digest [digestBytes]byte, w func(answer.Answer)) {
	switch {
	case r.digest != digest:
		w(answer.Conflict(r.key().ID))
	case r.running():
		r.waiters = append(r.waiters, w)
	default:
		w(r.answer)
	}
}

// resume takes over a task that an earlier owner had started, and asks its agent for the result.
func (o *Owner) resume(r *record, p *prior.Start) {
	if p.Index < 0 || p.Index >= len(r.tasks) || r.tasks[p.Index].state != stateWaiting {
		return
	}
	o.next++
	t := &r.tasks[p.Index]
	t.state = stateStartSent
	t.attempts = []attempt{{id: o.next, agent: p.Agent.Incarnation, name: p.Agent.Name, resumed: true}}
	t.sentTo = append(t.sentTo, p.Agent)
	o.attempts[o.next] = ref{rec: r, index: p.Index}
	o.out.Repeat(p.Agent.Incarnation, r.shard, r.key(), p.Index)
}

// Lookup answers a query about a submission without submitting it; w is called exactly once.
func (o *Owner) Lookup(key jobkey.Key, w func(answer.Answer)) {
	r := o.records[key]
	switch {
	case r == nil:
		w(answer.Uncertain(key.ID, "no record of this id here", ""))
	case r.running():
		r.waiters = append(r.waiters, w)
	default:
		w(r.answer)
	}
}

// Cancel withdraws the tasks of a submission that have not started; w is called exactly once, with the job's answer.
func (o *Owner) Cancel(now time.Time, key jobkey.Key, w func(answer.Answer)) {
	o.Lookup(key, w)
	if r := o.records[key]; r != nil {
		o.jobEvent(now, r, onCancelJob)
	}
}

// Result handles an agent's report of the end of a started task.
func (o *Owner) Result(now time.Time, res *result.Result) {
	r := o.records[res.Key]
	if r == nil || res.Index < 0 || res.Index >= len(r.tasks) {
		return
	}
	t := &r.tasks[res.Index]
	if taskChart.FinalID(t.state) {
		return
	}
	o.endStart(now, r, t, res)
	r.longest = max(r.longest, res.Ran)
	t.output, t.reason = res.Output, res.Reason
	if res.OK {
		o.taskEvent(now, r, res.Index, onSucceeded)
	} else {
		o.taskEvent(now, r, res.Index, onFailed)
	}
	o.PlaceWaiting(now)
}

// slowFactor is the multiple of its expected run time that a task may run up to its deadline without counting against its target.
const slowFactor = 4

// endStart reports the end of a start once. A task that was stopped, or reached its deadline after a normal run time, doesn't
// count against its target.
func (o *Owner) endStart(now time.Time, r *record, t *taskRow, res *result.Result) {
	if !t.ordered {
		return
	}
	t.ordered = false
	if !res.OK && excused(t, res) {
		o.out.StartDropped(t.booked)
		return
	}
	o.out.StartEnded(now, t.booked, r.job.Kind, t.work, res.Ran, res.OK)
}

func excused(t *taskRow, res *result.Result) bool {
	switch cause.FromFailure(res.Reason) {
	case cause.TaskFailed:
		return false
	case cause.DeadlinePassed:
		return res.Ran <= slowFactor*t.work
	}
	return true
}

// Refused handles an agent's refusal, which proves that an attempt was not and will not be started.
func (o *Owner) Refused(now time.Time, id uint64, reason string) {
	at, ok := o.attempts[id]
	if !ok {
		return
	}
	delete(o.attempts, id)
	t := &at.rec.tasks[at.index]
	t.drop(id)
	if len(t.attempts) > 0 {
		return
	}
	t.reason = reason
	o.taskEvent(now, at.rec, at.index, onRefused)
	if o.placePending {
		o.placePending = false
		o.PlaceWaiting(now)
	}
}

// Granted handles an agent's grant of a reservation; a reservation that is no longer needed is withdrawn.
func (o *Owner) Granted(now time.Time, agent string, id uint64) {
	at, ok := o.attempts[id]
	if !ok || at.rec.tasks[at.index].state != stateReserving {
		o.out.Withdraw(agent, []uint64{id})
		return
	}
	t := &at.rec.tasks[at.index]
	t.moveToFront(id)
	o.taskEvent(now, at.rec, at.index, onGranted)
}

// AgentLost ends every attempt at an incarnation of an agent whose ledger is lost.
func (o *Owner) AgentLost(now time.Time, agent string) {
	for _, id := range o.attemptsAt(agent) {
		at, ok := o.attempts[id]
		if !ok {
			continue
		}
		delete(o.attempts, id)
		t := &at.rec.tasks[at.index]
		t.drop(id)
		if len(t.attempts) > 0 {
			continue
		}
		t.reason = "target lost"
		o.taskEvent(now, at.rec, at.index, onTargetLost)
	}
	o.PlaceWaiting(now)
}

// Tick handles the timers that are due: deadlines, retries and the expiry of records.
func (o *Owner) Tick(now time.Time) {
	for {
		at, ok := o.timers.PopDue(now)
		if !ok {
			break
		}
		o.fire(now, at)
	}
	o.PlaceWaiting(now)
}

func (o *Owner) fire(now time.Time, at ref) {
	r := at.rec
	switch {
	case r.state == stateForgotten:
	case at.index == forgetTimer:
		o.forget(r)
	case at.index == deadlineTimer:
		if r.running() {
			o.jobEvent(now, r, onDeadline)
		}
	case at.index == readyTimer:
		if r.running() {
			o.placeJob(now, r)
		}
	case !r.running() || r.tasks[at.index].state != stateWaiting:
	case r.tasks[at.index].retryGranted:
		o.waiting = append(o.waiting, at)
	default:
		o.retryLater(now, r, at.index)
	}
}

func (o *Owner) forget(r *record) {
	o.releaseGate(r)
	for i := range r.tasks {
		o.unbook(r, i)
		o.forgetAttempts(r, i)
	}
	r.state = stateForgotten
	delete(o.records, r.key())
}

func (o *Owner) forgetAttempts(r *record, i int) {
	for _, a := range r.tasks[i].attempts {
		delete(o.attempts, a.id)
	}
	r.tasks[i].attempts = nil
}
