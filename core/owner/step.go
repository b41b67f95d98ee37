package owner

import (
	"time"

	"persimmonstage/core/answer"
	"persimmonstage/core/cause"
	"persimmonstage/core/ident"
	"persimmonstage/core/place"
	"persimmonstage/core/rank"
)

// taskEvent applies an event to a task and carries out the chart's actions.
func (o *Owner) taskEvent(now time.Time, r *record, i, event int) {
	t := &r.tasks[i]
	before := t.state
	next, actions := taskChart.Step(before, event)
	t.state = next
	o.updateGate(r, before, next)
	for _, a := range actions {
		o.taskAction(now, r, i, a)
	}
	if !taskChart.FinalID(next) {
		return
	}
	o.forgetAttempts(r, i)
	if r.running() {
		o.afterTask(now, r, event)
	}
	if r.open == 0 {
		o.releaseGate(r)
	}
}

// updateGate updates the capacity and quota that the job holds at the gate after a task's change of state.
func (o *Owner) updateGate(r *record, before, next int) {
	if !r.gated || before == next {
		return
	}
	sent := before == stateStartSent || before == stateWithdrawing
	switch {
	case !sent && next == stateStartSent:
		o.gate.Sent(r.request)
	case sent && next == stateWaiting:
		o.gate.Requeued(r.request)
	case sent && next == stateNotRun:
		o.gate.Requeued(r.request)
		o.gate.Drop(r.request, 1)
	case sent && taskChart.FinalID(next):
		o.gate.Done(r.request)
	case !sent && taskChart.FinalID(next):
		o.gate.Drop(r.request, 1)
	}
}

// releaseGate returns the capacity that a record still holds at the gate.
func (o *Owner) releaseGate(r *record) {
	if !r.gated {
		return
	}
	for i := range r.tasks {
		switch s := r.tasks[i].state; {
		case s == stateStartSent || s == stateWithdrawing:
			o.gate.Done(r.request)
		case !taskChart.FinalID(s):
			o.gate.Drop(r.request, 1)
		}
	}
	r.gated = false
	o.gate.End(r.request)
}

func (o *Owner) taskAction(now time.Time, r *record, i int, action string) {
	t := &r.tasks[i]
	switch action {
	case sendReserves:
		for k := range t.attempts {
			o.out.Reserve(t.attempts[k].agent, o.order(r, i, &t.attempts[k]))
		}
	case sendStart:
		o.rebook(r, i)
		t.sentTo = append(t.sentTo, ident.Ident{Name: t.attempts[0].name, Incarnation: t.attempts[0].agent})
		t.ordered = true
		o.out.StartSent(t.booked, t.wait+t.work)
		o.out.Start(t.attempts[0].agent, o.order(r, i, &t.attempts[0]))
	case withdrawOthers:
		o.withdrawOthers(r, i)
	case withdrawStart:
		for k := range t.attempts {
			o.withdraw(&t.attempts[k])
		}
	case unbook:
		o.unbook(r, i)
	case retryLater:
		if r.running() {
			o.retryLater(now, r, i)
		}
	case countEnd:
		r.open--
	}
}

// busy is the reason with which an agent refuses an order whose expected wait exceeds its bound.
const busy = "busy"

// retryLater schedules the next placement of a refused task, or the next request for a token if the retry budget is empty.
func (o *Owner) retryLater(now time.Time, r *record, i int) {
	t := &r.tasks[i]
	if t.reason == busy && t.busyRefusals < place.LastAttempt {
		t.busyRefusals++
		if !o.retries.Take() {
			t.busyRefusals = place.LastAttempt
		}
		o.waiting = append(o.waiting, ref{rec: r, index: i})
		o.placePending = true
		return
	}
	at, ok := o.retries.Next(now, r.job.Deadline, t.tries, t.work, o.rng)
	t.retryGranted = ok
	if ok {
		t.tries++
	} else {
		at = now.Add(budgetRetryInterval)
	}
	o.timers.Add(at, ref{rec: r, index: i})
}

// rebook moves the booking to the target that was first to grant the reservation.
func (o *Owner) rebook(r *record, i int) {
	t := &r.tasks[i]
	if t.booked == t.attempts[0].to {
		return
	}
	o.unbook(r, i)
	t.booked = t.attempts[0].to
	o.bookings.SentClass(t.booked, rank.Of(t.delay), r.job.Tasks[i].Needs, t.work)
	o.placer.Sent(r.key().Team, t.booked, rank.Of(t.delay), t.work)
}

func (o *Owner) unbook(r *record, i int) {
	t := &r.tasks[i]
	if t.booked == 0 {
		return
	}
	if t.ordered {
		t.ordered = false
		o.out.StartDropped(t.booked)
	}
	o.bookings.EndedClass(t.booked, rank.Of(t.delay), r.job.Tasks[i].Needs, t.work)
	o.placer.Ended(r.key().Team, t.booked, rank.Of(t.delay), t.work)
	t.booked = 0
}

// withdraw withdraws an order that has not started. A resumed order has started, as it was found in a ledger, and its agent has
// no attempt of this id and would refuse it.
func (o *Owner) withdraw(a *attempt) {
	if !a.resumed {
		o.out.Withdraw(a.agent, []uint64{a.id})
	}
}

// withdrawOthers withdraws every reservation except the one that the order was sent to.
func (o *Owner) withdrawOthers(r *record, i int) {
	t := &r.tasks[i]
	keep := 0
	if t.state == stateStartSent {
		keep = 1
	}
	for _, a := range t.attempts[keep:] {
		o.out.Withdraw(a.agent, []uint64{a.id})
		delete(o.attempts, a.id)
	}
	t.attempts = t.attempts[:keep]
}

// afterTask updates the job after one of its tasks has ended by event.
func (o *Owner) afterTask(now time.Time, r *record, event int) {
	switch event {
	case onFailed:
		r.cause = failureCause(r.firstReason())
		o.jobEvent(now, r, onTaskFailed)
	case onTargetLost:
		r.cause = targetLost
		o.jobEvent(now, r, onTaskLost)
	}
	if r.running() && r.open == 0 {
		o.jobEvent(now, r, r.endEvent())
	}
}

// failureCause returns the cause in the answer for a task that started and failed.
func failureCause(reason string) string {
	c := cause.FromFailure(reason)
	if c == cause.DeadlinePassed {
		return deadlineShort
	}
	return string(c)
}

// Causes in an answer.
const (
	targetLost    = "target-lost"
	deadlineShort = "deadline"
	neverPlaced   = "no-room"
	ownerChanged  = "owner-changed"
	cancelled     = "cancelled"
)

// jobEvent applies an event to a job and carries out the chart's actions.
func (o *Owner) jobEvent(now time.Time, r *record, event int) {
	next, actions := jobChart.Step(r.state, event)
	if next == r.state {
		return
	}
	r.state = next
	if jobChart.FinalID(next) {
		o.running--
	}
	for _, a := range actions {
		o.jobAction(now, r, a)
	}
}

func (o *Owner) jobAction(now time.Time, r *record, action string) {
	id := r.key().ID
	switch action {
	case answerComplete:
		o.reply(now, r, answer.Success(id, r.results()))
	case answerFailed, answerLost:
		o.reply(now, r, answer.Failure(id, r.firstReason(), r.cause, false))
	case answerLate:
		o.reply(now, r, o.late(r))
	case answerUncertain:
		o.reply(now, r, answer.Uncertain(id, "an earlier owner of the shard may have run it", ownerChanged))
	case answerCancelled:
		o.reply(now, r, o.cancelled(r))
	case cancelRest:
		for i := range r.tasks {
			if !taskChart.FinalID(r.tasks[i].state) {
				o.taskEvent(now, r, i, onCancel)
			}
		}
	case release:
		r.release()
	}
}

// cancelled returns the answer for a cancelled job, each of whose tasks has ended or certainly not started. It never says "not
// run": if this entry dies, its record is lost, and a submission of the job still in transit runs at the next owner.
func (o *Owner) cancelled(r *record) answer.Answer {
	id := r.key().ID
	switch {
	case !r.notRun():
		return answer.Failure(id, "cancelled by the caller after a task had started", cancelled, false)
	case !o.lease.Holds(r.shard):
		return replaced(id)
	}
	a := answer.Failure(id, "cancelled by the caller before any task started", cancelled, false)
	a.NotRunKnown = false
	return a
}

// replaced returns the answer for a job of which nothing was started here, while the shard may have another owner.
func replaced(id string) answer.Answer {
	return answer.Uncertain(id, "another owner of the shard may have run it", ownerChanged)
}

// late returns the answer for a job whose deadline has passed.
func (o *Owner) late(r *record) answer.Answer {
	switch {
	case !r.notRun():
	case !o.lease.Holds(r.shard):
		return replaced(r.key().ID)
	default:
		return answer.Failure(r.key().ID, "deadline passed before a target had room", neverPlaced, true)
	}
	return answer.Failure(r.key().ID, "deadline passed before every task had ended", deadlineShort, false)
}

func (r *record) firstReason() string {
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.reason != "" && taskChart.FinalID(t.state) && t.state != stateDone && t.state != stateNotRun {
			return t.reason
		}
	}
	return "a task failed"
}

func (o *Owner) reply(now time.Time, r *record, a answer.Answer) {
	r.answer = a
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		w(a)
	}
	o.out.JobEnded(now, r.key(), r.job.Kind, len(r.tasks), r.accepted, r.job.Deadline, r.longest, &r.answer)
	if a.Outcome == answer.Complete {
		r.release()
	}
}
