package proof

import (
	"slices"
	"time"

	"persimmonstage/core/claims"
	"persimmonstage/core/crash"
	"persimmonstage/core/evac"
	"persimmonstage/core/gossip"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
)

// repeatAgent is an agent's process together with the present process of its target and the calls between them.
type repeatAgent struct {
	repeatHost
	name      string
	life      int
	fences    int
	runs      *runs.Runs
	links     map[*repeatEntry]*repeatLink
	target    *repeatTarget
	other     *repeatTarget // a process that isn't the agent's target, but announces itself there; nil if there is none
	cancelled gossip.Gossip[string]
	claims    claims.Claims
	// What the process was told of evacuations, and when last something new.
	evacuations evac.Table
	evacuatedAt time.Time
	kept        *runs.Instance // what the agent's next process knows of the target
	// refusedUntil is until when connections to the target are refused while it goes on, and silentUntil until when calls get no answer.
	refusedUntil time.Time
	silentUntil  time.Time
	// stalledUntil is until when the target's process stands still; it then carries out what has arrived at once, in any order.
	stalledUntil time.Time
	// ordersLateUntil is until when the target leaves all starts and stops unanswered and executes them late.
	ordersLateUntil time.Time
}

// whenRunning calls do in the present process as soon as it isn't frozen, unless the process has been replaced by then.
func (a *repeatAgent) whenRunning(do func()) { a.reply(a.life, do) }

// reply is whenRunning for an answer to a process that may have been replaced already.
func (a *repeatAgent) reply(life int, do func()) {
	a.deliver(nil, func() {
		if a.life == life {
			do()
		}
	})
}

// later is reply after d.
func (a *repeatAgent) later(life int, d time.Duration, do func()) {
	a.w.after(d, func() { a.reply(life, do) })
}

// regularly calls do in the process once per period while it isn't frozen.
func (a *repeatAgent) regularly(period time.Duration, do func()) {
	a.w.every(period, func() {
		if !a.frozen() {
			do()
		}
	})
}

// lateShare is the fraction of an agent's calls that get no answer and are executed up to lateSpan later: half of them in every
// third sequence.
func (w *repeatWorld) lateShare() float64 {
	if w.seed%3 == 0 {
		return 0.5
	}
	return 0.08
}

const (
	lateSpan      = 6 * time.Second
	repeatCalls   = 6
	repeatTimeout = 8 * time.Millisecond
)

func (w *repeatWorld) isLate() bool { return w.rng.Float64() < w.lateShare() }

// isOrderLate is isLate for starts and stops, which a target may leave unanswered while it answers polls.
func (a *repeatAgent) isOrderLate() bool { return a.w.now.Before(a.ordersLateUntil) || a.isCallLate() }

// isCallLate is isLate for all calls to the target.
func (a *repeatAgent) isCallLate() bool { return a.w.now.Before(a.silentUntil) || a.w.isLate() }

func (a *repeatAgent) targetStalled() bool { return a.w.now.Before(a.stalledUntil) }

// wakeTime is how long a target takes to carry out what arrived while it stood still: within one tick of its clock.
const wakeTime = time.Millisecond

func (a *repeatAgent) whenTargetWakes(do func()) {
	a.w.after(a.stalledUntil.Sub(a.w.now)+time.Duration(a.w.rng.Int64N(int64(wakeTime))), do)
}

func (w *repeatWorld) late(do func()) {
	w.after(time.Duration(w.rng.Int64N(int64(lateSpan))), do)
}

// maxFences is more than the number of fences that one process of an agent raises.
const maxFences = 1000

// token returns the fencing token of the agent's next call.
func (a *repeatAgent) token() int { return a.life*maxFences + a.fences }

// Fence makes later calls fence the earlier ones.
func (a *repeatAgent) Fence() { a.fences++ }

// Start calls the target until it answers; each call without an answer may have been executed, or is executed later.
func (a *repeatAgent) Start(k runs.Key, o *runs.Order, until time.Time) {
	a.callStart(a.runs.Instance(), k, o, until, 1)
}

func (a *repeatAgent) callStart(to *runs.Instance, k runs.Key, o *runs.Order, until time.Time, call int) {
	if !a.w.now.Before(until) { // the process was frozen meanwhile
		a.startFailed(k, call, "late")
		return
	}
	token, life := a.token(), a.life
	a.w.after(repeatLatency, func() {
		t, refused := a.dial(to)
		switch {
		case refused:
			a.reply(life, func() {
				a.connectionRefused(to)
				a.startFailed(k, call, runs.Unreachable)
			})
			return
		case t.self.ID != to.ID: // it refuses calls for another process
			a.reply(life, func() { a.startFailed(k, call, "status-421") })
			return
		case a.targetStalled():
			a.whenTargetWakes(func() { t.start(token, k, o, until, true) })
		case a.isOrderLate():
			a.w.late(func() { t.start(token, k, o, until, true) })
		default:
			answer := t.start(token, k, o, until, false)
			if a.w.rng.IntN(12) == 0 { // executed, but the answer is lost
				break
			}
			if answer == runs.Rejected && call > 1 {
				answer = runs.Lost // an earlier call may have been executed, or may still be
			}
			a.reply(life, func() { a.runs.StartAnswered(a.w.now, k, answer, "old") })
			return
		}
		a.later(life, repeatTimeout, func() {
			if call == repeatCalls || t.ended { // a broken connection
				a.runs.StartAnswered(a.w.now, k, runs.Lost, "old")
				return
			}
			a.callStart(to, k, o, until, call+1)
		})
	})
}

// startFailed reports a start that the target didn't carry out, unless an earlier call may have been.
func (a *repeatAgent) startFailed(k runs.Key, call int, reason string) {
	answer := runs.Lost
	if call == 1 {
		answer = runs.Rejected
	}
	a.runs.StartAnswered(a.w.now, k, answer, reason)
}

func (a *repeatAgent) Stop(k runs.Key) {
	token, life, to := a.token(), a.life, a.runs.Instance()
	if to == nil {
		return
	}
	a.w.after(repeatLatency, func() {
		t, refused := a.dial(to)
		switch {
		case refused || t.self.ID != to.ID:
		case a.targetStalled():
			a.whenTargetWakes(func() { t.stop(token, k) })
		case a.isOrderLate():
			a.w.late(func() { t.stop(token, k) })
		default:
			t.stop(token, k)
			a.later(life, repeatLatency, func() { a.runs.StopAnswered(a.w.now, k, runs.Accepted) })
		}
	})
}

// knowsCancelled reports whether the agent's process has been told that a job was cancelled.
func (a *repeatAgent) knowsCancelled(id string) bool {
	ids, _ := a.cancelled.After(a.w.now, 0)
	return slices.Contains(ids, id)
}

// connectionRefused handles a refused connection to a process, unless that isn't the target any more.
func (a *repeatAgent) connectionRefused(to *runs.Instance) {
	if a.isCurrent(to) {
		a.runs.TargetDown(a.w.now)
	}
}

// isCurrent reports whether an announcement is of the process that the agent takes for the target.
func (a *repeatAgent) isCurrent(l *runs.Instance) bool {
	now := a.runs.Instance()
	return now != nil && now.ID == l.ID && now.Born == l.Born
}

func (a *repeatAgent) Ended(owner string, attempt uint64, how string, _ uint32) {
	a.report(owner, func(e *repeatEntry) { e.sched.Ended(e.w.now, a.name, attempt, how) })
}
func (a *repeatAgent) Crashed(*crash.Report)                           {}
func (a *repeatAgent) Forecast(string, uint64, time.Duration)          {}
func (a *repeatAgent) Closed(runs.Key, string, uint64, string, uint32) {}
func (a *repeatAgent) Changed() {
	for _, e := range a.w.entries {
		a.report(e.id(), func(e *repeatEntry) { e.sched.UpdateTarget(e.w.now, a.name, a.state(e)) })
	}
}

func (a *repeatAgent) state(e *repeatEntry) sched.TargetState {
	s := a.runs.State(a.w.now, e.id())
	return sched.TargetState{
		Service: s.Service, DataCentre: s.DataCentre, Millicores: s.Millicores, MemoryMB: s.MemoryMB, UsedMillicores: s.UsedMillicores,
		UsedMemoryMB: s.UsedMemoryMB, Usable: s.Usable, Pace: 1, Process: s.Process, Seen: s.Seen,
	}
}

// report sends a message to an entry's process, unless it isn't connected.
func (a *repeatAgent) report(owner string, do func(e *repeatEntry)) {
	for _, e := range a.w.entries {
		if l := a.links[e]; l != nil && l.answered && l.owner == owner {
			a.sendOver(l, func() { do(e) })
		}
	}
}

// sendOver sends a message over a connection; the entry drops those of a connection that is closed or that another one has replaced.
func (a *repeatAgent) sendOver(l *repeatLink, do func()) {
	e := l.entry
	if !l.up || a.w.now.Before(e.receiveCutUntil[a]) {
		return
	}
	a.w.after(repeatLatency, func() {
		if !l.up {
			return
		}
		e.whenRunning(l, func() {
			if l.up && e.id() == l.owner {
				l.entryReceived = e.w.now
				do()
			}
		})
	})
}

// poll polls the target. It answers at some time within the wait, and answers may overtake one another.
func (a *repeatAgent) poll() {
	to := a.runs.Instance()
	if to == nil {
		return
	}
	until, _ := a.runs.ExtendLease(a.w.now)
	token, life, sent, ack := a.token(), a.life, a.w.now, a.runs.Ack()
	a.w.after(time.Duration(a.w.rng.IntN(30))*time.Millisecond, func() {
		t, refused := a.dial(to)
		switch {
		case refused:
			a.reply(life, func() { a.connectionRefused(to) })
		case t.self.ID != to.ID:
		case a.targetStalled():
			a.whenTargetWakes(func() { a.listed(life, to, t.poll(token, ack, until, sent)) })
		case a.isCallLate():
			a.w.late(func() { t.poll(token, ack, until, sent) })
		default:
			a.listed(life, to, t.poll(token, ack, until, sent))
		}
	})
}

func (a *repeatAgent) listed(life int, to *runs.Instance, l *runs.Listing) {
	if l == nil {
		return
	}
	a.later(life, time.Duration(1+a.w.rng.IntN(40))*time.Millisecond, func() {
		if a.isCurrent(to) {
			a.runs.Listed(a.w.now, l)
		}
	})
}
