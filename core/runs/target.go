package runs

import (
	"slices"
	"time"

	"persimmonstage/core/crash"
)

// restarted handles a list which shows that another process answers at the target's address. Nothing is known of that process but its
// start, so it isn't used until it has announced itself: it may be of another kind and size.
func (r *Runs) restarted(now time.Time, l *Listing) {
	next := r.successor.instance
	if next != nil && (next.ID != r.instance.ID || next.Addr != r.instance.Addr || next.Born != l.Born) {
		next = nil
	}
	r.crash(now, next, l)
}

// crash replaces a process of the target that has ended by the next one, nil if that hasn't announced itself, and reports the runs unless
// the process was leaving. The list is the next process' own.
func (r *Runs) crash(now time.Time, next *Instance, l *Listing) {
	how := r.endOfProcess()
	if how == Crashed {
		r.reportCrash(now)
	}
	r.instance = nil
	if next != nil {
		r.attach(next)
	}
	r.reset(now, how, l)
}

// giveUp ends all runs of a target that can't be reached, after its lease has ended or if there are none. Calls that it still carries out
// have no effect, as they are fenced by the next call that reaches it.
func (r *Runs) giveUp(now time.Time) {
	how := lapsed
	if r.instance != nil && r.refused {
		how = r.endOfProcess()
	}
	if how == Crashed {
		r.reportCrash(now)
	}
	r.out.Fence()
	left := !r.leftAt.IsZero()
	r.reset(now, how, nil)
	if left {
		r.depart()
	}
}

// depart removes a target that has left.
func (r *Runs) depart() { r.departed, r.instance = r.instance, nil }

// endOfProcess returns how runs end with the target's process.
func (r *Runs) endOfProcess() string {
	if r.instance == nil || r.instance.Draining || !r.leftAt.IsZero() {
		return lapsed
	}
	return Crashed
}

// unreachable reports whether the target's lease isn't going to be extended again: there is no process to call, it refuses connections,
// or it doesn't answer while its successor does.
func (r *Runs) unreachable(now time.Time) bool {
	return r.instance == nil || r.refused || r.successor.listing != nil && r.Silent(now)
}

// reportCrash reports the tasks, if any, that ran when the target's process ended. A task whose start the target hasn't answered is none of
// them: it may never begin there.
func (r *Runs) reportCrash(now time.Time) {
	at := now
	if !r.brokenAt.IsZero() {
		at = r.brokenAt
	}
	report := &crash.Report{ID: now.UnixNano(), At: at}
	for _, u := range r.sorted() {
		if !u.begun || u.how == Crashed || u.began.After(at) { // started before an earlier crash, or after this one
			continue
		}
		report.Tasks = append(report.Tasks, crash.Task{Name: u.key.Task, Route: u.order.Route, Ran: at.Sub(u.began)})
	}
	// A target that ran nothing is reported once, as its crash tells that those of others at the same moment have another cause.
	if len(report.Tasks) > 0 || len(r.runs) == 0 && !r.lastAnswer.IsZero() {
		r.out.Crashed(report)
	}
}

// reset ends all runs of the target's earlier process and discards what was learned about it. A run that the next process may have started,
// by its list, ends only when that one confirms that it doesn't run; the list is nil if nothing can run any more.
func (r *Runs) reset(now time.Time, how string, next *Listing) {
	r.clean, r.ack, r.lastAnswer, r.listedClock = false, 0, time.Time{}, 0
	r.brokenAt, r.leftAt, r.refused = time.Time{}, time.Time{}, false
	r.pace, r.failing = pace{}, failing{}
	clear(r.unknownStops)
	r.dropWaiting(now)
	for _, u := range r.sorted() {
		u.how = how
		if how == Crashed && !u.begun {
			u.how = lapsed
		}
		if next != nil && u.mayRunAt(next) {
			u.stopConfirmed = time.Time{}
			r.step(now, u, onRestarted)
			continue
		}
		r.step(now, u, onGone)
	}
	r.out.Changed()
}

// mayRunAt reports whether a process may run u although the start was meant for the one before: its list shows it, or was requested
// before the start was answered.
func (u *run) mayRunAt(l *Listing) bool {
	if u.startSettled.IsZero() || !u.startSettled.Before(l.Sent) {
		return true
	}
	return slices.ContainsFunc(l.Running, func(p Progress) bool { return p.Key == u.key }) ||
		slices.ContainsFunc(l.Finished, func(f Finish) bool { return f.Key == u.key })
}

// ConnectionBroken records that a connection to the target broke, which is when its process ended if that has happened.
func (r *Runs) ConnectionBroken(now time.Time) {
	if r.brokenAt.IsZero() {
		r.brokenAt = now
	}
}

// TargetDown records that a connection to the target was refused. That doesn't show that its process has ended: the path between may
// have refused it. So nothing is started there, and the runs end with their lease unless the target answers before.
func (r *Runs) TargetDown(now time.Time) {
	if r.instance == nil {
		return
	}
	r.ConnectionBroken(now)
	if !r.refused {
		r.refused = true
		r.dropWaiting(now)
		r.out.Changed()
	}
	if r.clean && len(r.runs) == 0 {
		r.giveUp(now)
	}
}

// TargetLeft records that the target has announced its end. Nothing is started there any more; its runs end as it lists them or with
// their lease. If it still answers after leaveTime, the announcement was late or not the target's.
func (r *Runs) TargetLeft(now time.Time) {
	if r.instance == nil {
		return
	}
	r.leftAt = now
	r.dropWaiting(now)
	r.out.Changed()
}

// removeLeft removes a target that has announced its end and has ended.
func (r *Runs) removeLeft(now time.Time) {
	if !r.leftAt.IsZero() && len(r.runs) == 0 && (r.refused || r.Silent(now)) {
		r.reset(now, lapsed, nil)
		r.depart()
	}
}

// Instance returns the target's latest announcement, or nil if there is no target.
func (r *Runs) Instance() *Instance { return r.instance }

// Leave makes the table refuse all further orders; runs continue.
func (r *Runs) Leave(now time.Time) {
	r.leaving = true
	r.dropWaiting(now)
	r.out.Changed()
}

// Clean reports whether no run of an earlier process of the agent can be left at the target.
func (r *Runs) Clean() bool { return r.clean }

// Established reports whether no run of an earlier process of the agent can be left, as Clean, but stays true after a crash of the
// target.
func (r *Runs) Established() bool { return r.established }

// Silent reports whether the target has not answered for so long that its lease isn't extended.
func (r *Runs) Silent(now time.Time) bool { return now.Sub(r.lastAnswer) > extendWithin }

// usable reports whether runs may be started at the target.
func (r *Runs) usable(now time.Time) bool {
	return r.instance != nil && r.clean && !r.leaving && !r.refused && r.leftAt.IsZero() && !r.instance.Draining && !r.evacuated() &&
		!r.Silent(now) && r.mayExtend(now)
}

// scarceSlots is the number of free slots below which the target's room is scarce.
const scarceSlots = 3

// committed returns the resources of the runs and the waiting orders together.
func (r *Runs) committed() (millicores, memoryMB uint64) {
	millicores, memoryMB = r.used()
	for _, w := range r.waiting {
		millicores += w.order.Millicores
		memoryMB += w.order.MemoryMB
	}
	return millicores, memoryMB
}

// needWeight is the weight of one order in the mean of the orders' needs.
const needWeight = 0.1

// learnNeed updates the mean need with an order.
func (r *Runs) learnNeed(o *Order) {
	if r.meanNeed == 0 {
		r.meanNeed = float64(o.Millicores)
	}
	r.meanNeed += needWeight * (float64(o.Millicores) - r.meanNeed)
}
