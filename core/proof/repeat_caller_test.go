package proof

import (
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
)

const (
	// heldUpAfter is the silence of a connection from which on a request is taken for held up (platform/front).
	heldUpAfter = 1250 * time.Millisecond
	// maxSilence bounds how long the path between a caller and its entry is silent, and minSilence is the least time.
	maxSilence = 3 * time.Second
	minSilence = 100 * time.Millisecond
	// never is longer than any sequence.
	never = time.Hour
)

// repeatCaller is a caller with one submission of a job, at an entry's process.
type repeatCaller struct {
	w       *repeatWorld
	entry   *repeatEntry
	life    int // the entry's process that has the connection
	id      string
	over    bool      // it has an outcome, or has left
	arrived time.Time // when the request arrived at the entry's host
	left    bool      // the end of its connection has arrived at the entry's host
	again   func()    // submits the job once more
	// The path to the entry is silent from silentFrom to silentUntil, in both directions: what is sent then arrives afterwards.
	silentFrom, silentUntil time.Time
}

// chooseSilence makes the path of one caller in three silent for a while or for good.
func (c *repeatCaller) chooseSilence() {
	rng := c.w.rng
	if !c.w.silentPaths || rng.IntN(3) > 0 {
		return
	}
	c.silentFrom = c.w.now
	if rng.IntN(3) > 0 {
		c.silentFrom = c.w.now.Add(time.Duration(rng.Int64N(int64(time.Second))))
	}
	c.silentUntil = c.silentFrom.Add(minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence))))
	if rng.IntN(3) == 0 {
		c.silentUntil = c.silentFrom.Add(never)
	}
}

// patience returns how long the caller waits for the answer. One whose path is silent loses its connection early, at its own side.
func (c *repeatCaller) patience() time.Duration {
	if c.silentUntil.IsZero() {
		return c.w.callerPatience()
	}
	if c.w.tight {
		return time.Duration(c.w.rng.Int64N(int64(tightPatience)))
	}
	return time.Duration(c.w.rng.Int64N(int64(maxSilentPatience)))
}

// maxSilentPatience bounds how long a caller waits whose path is silent.
const maxSilentPatience = 1500 * time.Millisecond

// The same in a tight sequence, and the time that an entry then has for a job.
const (
	tightPatience = 250 * time.Millisecond
	tightWait     = 1490 * time.Millisecond
)

// deliver has a message arrive at the other side; messages that a silence holds up arrive in order.
func (c *repeatCaller) deliver(do func()) {
	at := c.w.now
	if !at.Before(c.silentFrom) && at.Before(c.silentUntil) {
		at = c.silentUntil
	}
	c.w.after(at.Sub(c.w.now)+repeatLatency, do)
}

// whenRead has a message arrive at the entry's host; do is called when the process reads it, and arrived when it arrives.
func (c *repeatCaller) whenRead(arrived, do func()) {
	c.deliver(func() {
		if c.entry.life == c.life && c.entry.alive() {
			arrived()
			c.entry.whenRunning(c, do)
		}
	})
}

// comeAgain ends the submission; the caller submits the job once more after a time.
func (c *repeatCaller) comeAgain() {
	if !c.over {
		c.over = true
		c.w.after(repeatResend, c.again)
	}
}

// mayBeHeldUp reports whether the request that is being read came after a silence, as far as the entry can tell.
func (c *repeatCaller) mayBeHeldUp(accepted time.Time) bool {
	return c.w.now.Sub(accepted) > heldUpAfter
}

// submit sends a job to an entry, and again after a failure or after the caller has left. The entry reads the request and the
// end of the connection only while it runs; each counts the caller's deadline from its own reading of the request.
func (w *repeatWorld) submit(id string, tasks int, work time.Duration) {
	e := w.entries[w.rng.IntN(len(w.entries))]
	again := func() { w.submit(id, tasks, work) }
	c := &repeatCaller{w: w, entry: e, life: e.life, id: id, again: again}
	if !e.alive() {
		c.comeAgain()
		return
	}
	c.chooseSilence()
	e.onDeath = append(e.onDeath, func() { c.deliver(c.comeAgain) })
	number := uint64(0)
	accepted := w.now
	if e.frozen() {
		accepted = e.frozenUntil
	}
	c.whenRead(func() { c.arrived = w.now }, func() {
		if c.left { // the entry looks for the end of the connection once it has read the request (platform/front)
			return
		}
		number = e.sched.Submit(w.now, &batch.Batch{
			ID: id, Route: repeatRoute, Tasks: tasks, Millicores: 5000, MemoryMB: 1, Declared: work, Label: w.labels[id],
			Deadline: w.jobDeadline(), HeldUp: c.mayBeHeldUp(accepted), Payload: []byte(e.id()), Left: func() bool { return c.left },
			ResubmitAt: c.arrived.Add(repeatResend), ArrivalKnown: true, ClaimedUntil: e.claims.Until(id),
		}, func(f jobend.Outcome) { c.deliver(func() { c.answered(f) }) })
	})
	if !w.tight && !w.neverCancel && w.rng.IntN(12) == 0 {
		w.cancel(e, id, func() { c.over = true }, again)
	}
	w.after(c.patience(), func() {
		if !c.over {
			c.whenRead(func() { c.left = true }, func() { e.sched.Leave(w.now, id, number) })
			c.comeAgain()
		}
	})
}

// jobDeadline returns the deadline of a job whose request an entry reads now.
func (w *repeatWorld) jobDeadline() time.Time {
	if w.tight {
		return w.now.Add(tightWait)
	}
	return w.now.Add(repeatWait)
}

func (c *repeatCaller) answered(f jobend.Outcome) {
	switch {
	case c.over:
	case f.Kind == jobend.Unfinished:
		c.comeAgain()
	default:
		c.over = true
		c.w.done++
	}
}
