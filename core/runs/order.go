package runs

import (
	"slices"
	"time"
)

// RecordEcho records the stamp of a heartbeat that an owner returned.
func (r *Runs) RecordEcho(name string, stamp time.Time) {
	o := r.owner(name)
	if stamp.After(o.lastEcho) {
		o.lastEcho = stamp
	}
}

func (r *Runs) owner(name string) *owner {
	o := r.owners[name]
	if o == nil {
		o = &owner{}
		r.owners[name] = o
	}
	return o
}

// Reconnected processes the list of open attempts of an owner that has connected again. It reports the ends that the owner may have
// missed, and ends the attempts here that the owner counts as ended, since it may have started their tasks elsewhere.
func (r *Runs) Reconnected(now time.Time, name string, open []uint64) {
	r.endAbandoned(now, name, open)
	for _, id := range open {
		k := attemptKey{name, id}
		if r.attempts[k] != nil || r.waitingIndex(k) >= 0 {
			continue
		}
		r.resendEnd(now, k)
	}
}

// endAbandoned ends an owner's attempts other than the open ones.
func (r *Runs) endAbandoned(now time.Time, name string, open []uint64) {
	for _, w := range r.takeWaiting() {
		if w.owner != name || slices.Contains(open, w.order.Attempt) {
			r.waiting = append(r.waiting, w)
			continue
		}
		r.reportEnd(now, w.key(), attemptEnd{how: stopped})
		r.out.Changed()
	}
	for _, u := range r.sorted() {
		if u.owner == name && !slices.Contains(open, u.order.Attempt) {
			u.abandoned = true
			r.step(now, u, onStopRequested)
		}
	}
}

// resendEnd reports the end of an attempt again, or Unknown if none is kept. Its owner then takes the attempt as ended, so the end
// is kept: an order of the attempt that arrives later must not start a run that nobody would stop.
func (r *Runs) resendEnd(now time.Time, k attemptKey) {
	e, ok := r.ends[k]
	if !ok {
		e = attemptEnd{how: Unknown, expires: now.Add(endRetention)}
		r.ends[k] = e
	}
	r.out.Ended(k.owner, k.attempt, e.how, e.ranMS)
}

// Orders carries out the orders that an owner gathered and sent together.
func (r *Runs) Orders(now time.Time, name string, starts []*Order, stops []uint64) {
	for _, id := range stops {
		r.Stop(now, name, id)
	}
	for _, o := range starts {
		r.Order(now, name, o)
	}
}

// Order starts a task, queues it for a short time if there is no room, or refuses it.
func (r *Runs) Order(now time.Time, name string, o *Order) {
	w := r.owner(name)
	w.seen = max(w.seen, o.Attempt)
	ak := attemptKey{name, o.Attempt}
	if r.attempts[ak] != nil || r.waitingIndex(ak) >= 0 {
		return
	}
	if _, ended := r.ends[ak]; ended {
		r.resendEnd(now, ak)
		return
	}
	r.learnNeed(o)
	switch how := r.refusal(now, w, o); {
	case how == "":
		r.start(now, name, o)
	case how != NoRoom || !r.enqueue(now, name, o):
		r.reportEnd(now, ak, attemptEnd{how: how})
	}
}

// start creates the run of an order, under a number that is higher than the task's earlier ones, and starts it.
func (r *Runs) start(now time.Time, name string, o *Order) {
	if n := r.lastNumbers[o.Task]; o.Number <= n {
		o.Number = n + 1
	}
	k := Key{o.Task, o.Number}
	r.lastNumbers[o.Task] = o.Number
	u := &run{key: k, owner: name, order: o, state: runChart.InitialID(), began: now}
	r.runs[k] = u
	r.attempts[attemptKey{name, o.Attempt}] = u
	until := r.extend(now)
	r.out.Start(k, o, until)
	r.out.Changed()
}

// refusal returns the reason why an order can't be started now, or an empty string.
func (r *Runs) refusal(now time.Time, w *owner, o *Order) string {
	if !r.usable(now) || now.Sub(w.lastEcho) > Tenure || o.isOver(now) || o.Cancelled || o.Process != 0 && o.Process != r.process {
		return Refused
	}
	for _, u := range r.runs {
		if u.key.Task == o.Task {
			return Refused
		}
	}
	cpu, mem := r.used()
	if exceeds(cpu, o.Millicores, r.instance.Millicores) || exceeds(mem, o.MemoryMB, r.instance.MemoryMB) {
		return NoRoom
	}
	return ""
}

// isOver reports whether the order's run should have ended.
func (o *Order) isOver(now time.Time) bool { return !o.StopBy.IsZero() && !now.Before(o.StopBy) }

// exceeds reports whether used and more together are above a capacity; their sum may overflow.
func exceeds(used, more, capacity uint64) bool { return used > capacity || more > capacity-used }

func (r *Runs) used() (millicores, memoryMB uint64) {
	for _, u := range r.runs {
		millicores += u.order.Millicores
		memoryMB += u.order.MemoryMB
	}
	return millicores, memoryMB
}

// Stop ends an owner's attempt; the end is reported once it is certain.
func (r *Runs) Stop(now time.Time, name string, id uint64) {
	k := attemptKey{name, id}
	if u := r.attempts[k]; u != nil {
		r.requestStop(now, u, now.Add(withdrawTime))
		return
	}
	if i := r.waitingIndex(k); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.reportEnd(now, k, attemptEnd{how: stopped})
		return
	}
	r.resendEnd(now, k)
}

// requestStop stops a run; the lease is extended for it until a time.
func (r *Runs) requestStop(now time.Time, u *run, extendUntil time.Time) {
	u.limitLease(extendUntil)
	r.step(now, u, onStopRequested)
}

// StartAnswered processes the target's answer to the call that starts a run.
func (r *Runs) StartAnswered(now time.Time, k Key, a Answer, reason string) {
	u := r.runs[k]
	if u == nil {
		return
	}
	u.startSettled = now
	switch a {
	case Accepted:
		r.answered(now, u.began.Add(maxStartTime))
		u.begun = true
		r.step(now, u, onAccepted)
	case Rejected:
		u.how = reason
		r.step(now, u, onRefused)
	default:
		r.step(now, u, onUnanswered)
	}
}

// Answer is the outcome of a call to the target.
type Answer int

// The outcomes of a call. Lost means that no answer came in time; the call may still take effect later.
const (
	Accepted Answer = iota
	Rejected
	Lost
)

// StopAnswered processes the target's answer to the call that stops a run.
func (r *Runs) StopAnswered(now time.Time, k Key, a Answer) {
	if a == Lost {
		return
	}
	if u := r.runs[k]; u != nil && u.stopConfirmed.IsZero() {
		u.stopConfirmed = now
	}
}

func (r *Runs) callStop(now time.Time, u *run) {
	u.stopSent = now
	r.out.Stop(u.key)
}
