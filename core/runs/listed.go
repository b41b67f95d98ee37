package runs

import (
	"time"

	"persimmonstage/core/times"
)

// ExtendLease returns the new end of the lease for the next poll of the target, or false if that poll is not to extend it.
func (r *Runs) ExtendLease(now time.Time) (time.Time, bool) {
	if !r.clean || len(r.runs) == 0 || r.refused || r.Silent(now) || !r.mayExtend(now) {
		return time.Time{}, false
	}
	return r.extend(now), true
}

// mayExtend reports whether the lease, under which all runs at the target continue, may be extended: not if a run should have ended
// and the target doesn't confirm that it has, since its task may soon be started elsewhere.
func (r *Runs) mayExtend(now time.Time) bool {
	for _, u := range r.runs {
		if !u.stopConfirmed.IsZero() {
			continue // it ends by itself, whatever the lease
		}
		if u.abandoned || now.Sub(r.owner(u.owner).lastEcho) > Tenure+stopTime || !u.extendUntil.IsZero() && now.After(u.extendUntil) {
			return false
		}
	}
	return true
}

func (r *Runs) extend(now time.Time) time.Time {
	r.lastExtended = now
	return now.Add(Lease)
}

// Ack returns the highest index up to which all ends that the target listed have been processed.
func (r *Runs) Ack() int64 { return r.ack }

// Listed processes the target's answer to a poll. Answers of polls that overlap may arrive in another order than the target gave
// them: of an outdated one only the ends count, as they are final. The same holds for a partial one.
func (r *Runs) Listed(now time.Time, l *Listing) {
	if r.instance == nil {
		return
	}
	switch {
	case l.Born == 0 && !r.confirmed:
		return
	case l.Born != r.instance.Born && l.Born != 0:
		r.restarted(now, l)
		return
	}
	wasUsable := r.usable(now)
	r.confirmed = true
	r.answered(now, l.Sent.Add(maxPollTime))
	r.brokenAt = time.Time{}
	if l.Sent.Sub(r.leftAt) > leaveTime {
		r.leftAt = time.Time{}
	}
	outdated := l.Partial || r.mayBeOutdated(l)
	if l.Clock >= r.listedClock {
		r.listedClock, r.listedAt = l.Clock, now
	}
	for _, f := range l.Finished {
		if f.Index <= r.ack {
			continue
		}
		r.ack = f.Index
		if u := r.runs[f.Key]; u != nil {
			r.finished(now, u, f.How)
		}
	}
	if !outdated && !r.stopUnknown(now, l) {
		r.applyListing(now, l)
	}
	if !wasUsable {
		r.out.Changed()
	}
}

// mayBeOutdated reports whether the target may have given the list before the newest one that was processed. Within one tick of its clock
// only a list that was requested after the other one had come is certainly newer.
func (r *Runs) mayBeOutdated(l *Listing) bool {
	return l.Clock < r.listedClock || l.Clock != 0 && l.Clock == r.listedClock && l.Sent.Before(r.listedAt)
}

// answered records an answer of the target, which was given by latest. One that this process read later, as it was frozen, doesn't show
// that the target still answers.
func (r *Runs) answered(now, latest time.Time) {
	r.lastAnswer = times.Later(r.lastAnswer, times.Earlier(now, latest))
	r.refused = false
}

// stopUnknown stops runs that earlier processes of the agent started, and reports whether the target is not clean yet; until
// it is, the target isn't announced and nothing is started.
func (r *Runs) stopUnknown(now time.Time, l *Listing) bool {
	left := false
	for _, p := range l.Running {
		if r.runs[p.Key] != nil {
			continue
		}
		left = true
		if now.Sub(r.unknownStops[p.Key]) >= stopRetryPeriod {
			r.unknownStops[p.Key] = now
			r.out.Stop(p.Key)
		}
	}
	if r.clean {
		return false
	}
	if !left {
		r.clean, r.established = true, true
		clear(r.unknownStops)
		r.out.Changed()
	}
	return !r.clean
}

// applyListing updates each run according to whether the target lists it as running.
func (r *Runs) applyListing(now time.Time, l *Listing) {
	listed := make(map[Key]int, len(l.Running))
	for _, p := range l.Running {
		listed[p.Key] = p.Percent
	}
	for _, u := range r.sorted() {
		percent, running := listed[u.key]
		switch {
		case running:
			u.begun = true
			r.step(now, u, onListed)
			r.checkProgress(now, u, percent)
		case !u.stopConfirmed.IsZero() && l.Sent.After(u.stopConfirmed):
			u.how = stopped
			r.step(now, u, onStopConfirmed)
		case !u.startSettled.IsZero() && l.Sent.After(u.startSettled):
			u.how = lapsed
			r.step(now, u, onMissing)
		}
	}
}

func (r *Runs) finished(now time.Time, u *run, how string) {
	u.how = how
	r.failing.count(now, how)
	if how == done {
		r.pace.learn(now, now.Sub(u.began), u.order.Expected)
	}
	r.step(now, u, onFinished)
}

// limitLease sets the time until which the lease is extended for a run that should end; neither a later stop nor an echo defers it.
func (u *run) limitLease(until time.Time) {
	if u.extendUntil.IsZero() || until.Before(u.extendUntil) {
		u.extendUntil = until
	}
}
