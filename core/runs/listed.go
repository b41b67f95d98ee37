package runs

import "time"

// ExtendLease returns until when a look at the target is to extend the lease, and false if it is not to.
func (r *Runs) ExtendLease(now time.Time) (time.Time, bool) {
	if !r.clean || len(r.runs) == 0 || now.Sub(r.answered) > extendWithin {
		return time.Time{}, false
	}
	return r.extend(now), true
}

func (r *Runs) extend(now time.Time) time.Time {
	r.extended = now
	return now.Add(Lease)
}

// Ack returns up to which of the target's ends all are taken note of.
func (r *Runs) Ack() int64 { return r.ack }

// Listed takes the target's answer to a look.
func (r *Runs) Listed(now time.Time, l *Listing) {
	if r.life == nil {
		return
	}
	wasUsable := r.usable(now)
	r.answered = now
	if r.stopUnknown(now, l) {
		return
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
	r.compare(now, l)
	if !wasUsable {
		r.out.Changed()
	}
}

// stopUnknown stops what runs for earlier processes of the agent; until all of it is gone nothing is announced or started.
func (r *Runs) stopUnknown(now time.Time, l *Listing) bool {
	left := false
	for _, p := range l.Running {
		if r.runs[p.Key] != nil {
			continue
		}
		left = true
		if now.Sub(r.unknown[p.Key]) >= stopAgain {
			r.unknown[p.Key] = now
			r.out.Stop(p.Key)
		}
	}
	if r.clean {
		return false
	}
	for _, f := range l.Finished {
		r.ack = max(r.ack, f.Index)
	}
	if !left {
		r.clean = true
		clear(r.unknown)
		r.out.Changed()
	}
	return !r.clean
}

// compare steps the runs by what the target lists as running.
func (r *Runs) compare(now time.Time, l *Listing) {
	listed := make(map[Key]int, len(l.Running))
	for _, p := range l.Running {
		listed[p.Key] = p.Percent
	}
	for _, u := range r.sorted() {
		percent, there := listed[u.key]
		switch {
		case there:
			r.step(now, u, onListed)
			r.progress(now, u, percent)
		case !u.barred.IsZero() && l.Sent.After(u.barred):
			u.how = stopped
			r.step(now, u, onStopConfirmed)
		case !u.settled.IsZero() && l.Sent.After(u.settled):
			u.how = lapsed
			r.step(now, u, onMissing)
		}
	}
}

func (r *Runs) finished(now time.Time, u *run, how string) {
	u.how = how
	if how == done {
		r.pace.learn(now, now.Sub(u.began), u.order.Expected)
	}
	r.step(now, u, onFinished)
}
