package proof

import (
	"time"

	"persimmonstage/core/crash"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
)

// repeatAgent is an agent's process together with its target and the calls between them.
type repeatAgent struct {
	repeatHost
	name   string
	life   int
	fences int
	runs   *runs.Runs
	target *repeatTarget
	// ordersLateUntil is until when the target leaves all starts and stops unanswered and executes them late.
	ordersLateUntil time.Time
}

// whenRunning calls do in the process as soon as it isn't frozen, unless the process has been replaced by then.
func (a *repeatAgent) whenRunning(do func()) {
	life := a.life
	a.deliver(func() {
		if a.life == life {
			do()
		}
	})
}

// later calls do in the process after d, or as soon as it isn't frozen.
func (a *repeatAgent) later(d time.Duration, do func()) {
	life := a.life
	a.w.after(d, func() {
		a.deliver(func() {
			if a.life == life {
				do()
			}
		})
	})
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
func (a *repeatAgent) isOrderLate() bool { return a.w.now.Before(a.ordersLateUntil) || a.w.isLate() }

func (w *repeatWorld) late(do func()) {
	w.after(time.Duration(w.rng.Int64N(int64(lateSpan))), do)
}

// Start calls the target until it answers; each call without an answer may have been executed, or is executed later.
func (a *repeatAgent) Start(k runs.Key, o *runs.Order, until time.Time) { a.callStart(k, o, until, 1) }

func (a *repeatAgent) callStart(k runs.Key, o *runs.Order, until time.Time, call int) {
	if !a.w.now.Before(until) { // the process was frozen meanwhile
		answer := runs.Lost
		if call == 1 {
			answer = runs.Rejected
		}
		a.runs.StartAnswered(a.w.now, k, answer, "late")
		return
	}
	work, token := o.Expected, a.life
	start := func() runs.Answer { return a.target.start(token, k, work, until) }
	switch {
	case a.isOrderLate():
		a.w.late(func() { start() })
	case a.w.rng.IntN(12) == 0: // executed, but the answer is lost
		a.w.after(repeatLatency, func() { start() })
	default:
		a.w.after(repeatLatency, func() {
			answer := start()
			if answer == runs.Rejected && call > 1 {
				answer = runs.Lost // an earlier call may have been executed, or may still be
			}
			a.whenRunning(func() { a.runs.StartAnswered(a.w.now, k, answer, "old") })
		})
		return
	}
	a.later(repeatTimeout, func() {
		if call == repeatCalls {
			a.runs.StartAnswered(a.w.now, k, runs.Lost, "old")
			return
		}
		a.callStart(k, o, until, call+1)
	})
}

func (a *repeatAgent) Fence() { a.fences++ }

func (a *repeatAgent) Stop(k runs.Key) {
	token := a.life
	if a.isOrderLate() {
		a.w.late(func() { a.target.stop(token, k) })
		return
	}
	a.w.after(repeatLatency, func() {
		a.target.stop(token, k)
		a.later(repeatLatency, func() { a.runs.StopAnswered(a.w.now, k, runs.Accepted) })
	})
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
		Service: s.Service, Millicores: s.Millicores, MemoryMB: s.MemoryMB, UsedMillicores: s.UsedMillicores,
		UsedMemoryMB: s.UsedMemoryMB, Usable: s.Usable, Pace: 1, Process: s.Process, Seen: s.Seen,
	}
}

// report delivers a message to an entry's process over its connection.
func (a *repeatAgent) report(owner string, do func(e *repeatEntry)) {
	for _, e := range a.w.entries {
		l := e.links[a.name]
		if e.id() != owner || l == nil || !l.up || a.w.now.Before(e.receiveCutUntil[a]) {
			continue
		}
		a.w.after(repeatLatency, func() {
			e.whenRunning(func() {
				if l.up && e.id() == owner {
					l.entryReceived = e.w.now
					do(e)
				}
			})
		})
	}
}

func (a *repeatAgent) poll() {
	until, _ := a.runs.ExtendLease(a.w.now)
	token, sent, ack := a.life, a.w.now, a.runs.Ack()
	if a.w.isLate() {
		a.w.late(func() { a.target.poll(token, ack, until, sent) })
		return
	}
	// The target answers at some time within the wait, and answers may overtake one another.
	life := a.life
	a.w.after(time.Duration(a.w.rng.IntN(30))*time.Millisecond, func() {
		if a.life != life {
			return
		}
		l := a.target.poll(token, ack, until, sent)
		l.Clock = a.w.now.UnixMilli()
		a.later(time.Duration(1+a.w.rng.IntN(40))*time.Millisecond, func() { a.runs.Listed(a.w.now, l) })
	})
}
