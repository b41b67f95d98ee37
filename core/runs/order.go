package runs

import (
	"slices"
	"time"
)

// RecordEcho takes an owner's echo of a heartbeat with its stamp.
func (r *Runs) RecordEcho(name string, stamp time.Time) {
	o := r.owner(name)
	if stamp.After(o.echoed) {
		o.echoed = stamp
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

// ResendEnds tells an owner that connected again the ends that it may have missed: of every attempt of its list that isn't here.
func (r *Runs) ResendEnds(name string, open []uint64) {
	for _, id := range open {
		k := attemptKey{name, id}
		if r.attempts[k] != nil || r.waits(k) >= 0 {
			continue
		}
		r.tellAgain(k)
	}
}

// tellAgain tells an owner the end of an attempt that isn't here any more.
func (r *Runs) tellAgain(k attemptKey) {
	e, ok := r.ends[k]
	if !ok {
		e.how = Unknown
	}
	r.out.Ended(k.owner, k.attempt, e.how, e.ranMS)
}

// Order starts a task, lets it wait for room for a moment, or refuses it.
func (r *Runs) Order(now time.Time, name string, o *Order) {
	w := r.owner(name)
	w.seen = max(w.seen, o.Attempt)
	ak := attemptKey{name, o.Attempt}
	if r.attempts[ak] != nil || r.waits(ak) >= 0 {
		return
	}
	r.require(o)
	switch how := r.barred(now, w, o); {
	case how == "":
		r.start(now, name, o)
	case how != NoRoom || !r.park(now, name, o):
		r.tell(now, ak, how, 0)
	}
}

// start begins a run for an order.
func (r *Runs) start(now time.Time, name string, o *Order) {
	if n := r.numbers[o.Task]; o.Number <= n {
		o.Number = n + 1
	}
	k := Key{o.Task, o.Number}
	r.numbers[o.Task] = o.Number
	u := &run{key: k, owner: name, order: o, state: runChart.InitialID(), began: now}
	r.runs[k] = u
	r.attempts[attemptKey{name, o.Attempt}] = u
	until := r.extend(now)
	r.out.Start(k, o, until)
	r.out.Changed()
}

// barred returns why an order may not be started, if that is so.
func (r *Runs) barred(now time.Time, w *owner, o *Order) string {
	if !r.usable(now) || now.Sub(w.echoed) > Tenure {
		return Refused
	}
	for _, u := range r.runs {
		if u.key.Task == o.Task {
			return Refused
		}
	}
	cpu, mem := r.used()
	if cpu+o.Millicores > r.life.Millicores || mem+o.MemoryMB > r.life.MemoryMB {
		return NoRoom
	}
	return ""
}

func (r *Runs) used() (millicores, memoryMB uint64) {
	for _, u := range r.runs {
		millicores += u.order.Millicores
		memoryMB += u.order.MemoryMB
	}
	return millicores, memoryMB
}

// Stop ends an owner's attempt; its end is told when it is certain.
func (r *Runs) Stop(now time.Time, name string, id uint64) {
	k := attemptKey{name, id}
	if u := r.attempts[k]; u != nil {
		r.step(now, u, onStopRequested)
		return
	}
	if i := r.waits(k); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.tell(now, k, stopped, 0)
		return
	}
	r.tellAgain(k)
}

// StartAnswered takes the target's answer to the call for a start.
func (r *Runs) StartAnswered(now time.Time, k Key, a Answer, reason string) {
	u := r.runs[k]
	if u == nil {
		return
	}
	u.settled = now
	switch a {
	case Accepted:
		r.step(now, u, onAccepted)
	case Rejected:
		u.how = reason
		r.step(now, u, onRefused)
	default:
		r.step(now, u, onUnanswered)
	}
}

// Answer is the outcome of a call at the target.
type Answer int

// The outcomes of a call: an answer that may still come, or never, is Lost, and the call may be carried out later.
const (
	Accepted Answer = iota
	Rejected
	Lost
)

// StopAnswered takes the target's answer to the call for a stop.
func (r *Runs) StopAnswered(now time.Time, k Key, a Answer) {
	if a == Lost {
		return
	}
	if u := r.runs[k]; u != nil && u.barred.IsZero() {
		u.barred = now
	}
}

func (r *Runs) callStop(now time.Time, u *run) {
	u.stopSent = now
	r.out.Stop(u.key)
}
