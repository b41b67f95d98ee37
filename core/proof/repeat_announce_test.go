package proof

import (
	"fmt"
	"time"

	"persimmonstage/core/runs"
)

const (
	// announcePeriod is the time between two announcements of a target.
	announcePeriod = 1500 * time.Millisecond
	// identifyPeriod is the time between two questions to an announced process.
	identifyPeriod = 100 * time.Millisecond
	// otherKindTime is the least time that a target takes to come back as another kind, or under another id.
	otherKindTime = 200 * time.Millisecond
	noAddr        = "nowhere"
	otherAddr     = "other"
)

// announce delivers the announcement of the agent's target, sometimes once more later, as on a path that holds messages up.
func (a *repeatAgent) announce() {
	t := a.target
	if t.ended {
		return
	}
	t.self.Sequence++
	l := t.self
	a.deliverAnnouncement(&l, func() {
		if l.Draining && t.drainedAt.IsZero() {
			t.drainedAt = a.w.now
		}
	})
	if a.w.rng.IntN(6) == 0 {
		late := l
		a.w.after(time.Duration(a.w.rng.Int64N(int64(4*time.Second))), func() { a.deliverAnnouncement(&late, func() {}) })
	}
}

// deliverAnnouncement gives an announcement to the agent's process, and calls acked once that has processed it.
func (a *repeatAgent) deliverAnnouncement(l *runs.Instance, acked func()) {
	a.w.after(repeatLatency, func() {
		a.whenRunning(func() {
			next := *l
			a.runs.Announced(a.w.now, &next)
			acked()
		})
	})
}

// foreign delivers an announcement or a leave that the target didn't send: another process at its address or elsewhere, an earlier or a
// later one under its id, or the present one with a sequence far ahead.
func (a *repeatAgent) foreign() {
	l := a.target.self
	switch a.w.rng.IntN(7) {
	case 0:
		l.ID, l.Addr, l.Born = "foreign", noAddr, a.w.now.UnixMilli()
	case 1:
		l.ID, l.Born = "foreign", a.w.now.UnixMilli()
	case 2:
		l.Born = a.w.now.UnixMilli()
	case 3:
		l.Born -= 1000
	case 4:
		l.Sequence += 1_000_000
		l.Draining = false
	case 5:
		a.whenRunning(func() { a.runs.TargetLeft(a.w.now) })
		return
	case 6: // of a process that does answer
		l.ID, l.Addr, l.Born = "other", otherAddr, a.w.now.UnixMilli()
		if a.other != nil {
			a.other.crash()
		}
		a.other = newRepeatTarget(a, l)
		a.other.foreign = true
		a.deliverAnnouncement(&l, func() {})
		return
	}
	l.Labels = []string{a.w.kind()}
	a.deliverAnnouncement(&l, func() {})
}

// restartTarget ends the target's process; the next one comes after a time, at once in half of the cases, and may be of another kind.
func (a *repeatAgent) restartTarget(down time.Duration) {
	next := a.target.self
	a.target.crash()
	if a.w.rng.IntN(2) == 0 {
		down = time.Duration(1+a.w.rng.IntN(300)) * time.Millisecond
	}
	if down >= otherKindTime {
		next.Labels = []string{a.w.kind()}
		if a.w.rng.IntN(2) == 0 {
			next.ID = fmt.Sprint("i", a.w.rng.IntN(1000))
		}
	}
	a.w.after(down, func() {
		if !a.target.ended {
			return
		}
		if a.other != nil { // a host has one target at a time
			a.other.crash()
		}
		next.Born, next.Sequence, next.Draining = a.w.now.UnixMilli(), 0, false
		a.target = newRepeatTarget(a, next)
		a.announce()
	})
}

// drainTarget has the target drain, and leave some seconds later.
func (a *repeatAgent) drainTarget() {
	t := a.target
	t.self.Draining = true
	a.announce()
	a.w.after(drainGrace+time.Duration(a.w.rng.IntN(2000))*time.Millisecond, func() {
		if t.ended {
			return
		}
		id := t.self.ID
		a.whenRunning(func() {
			if l := a.runs.Instance(); l != nil && l.ID == id {
				a.runs.TargetLeft(a.w.now)
			}
		})
		a.restartTarget(time.Second)
	})
}

// identify asks the process at the address of a successor when it was born.
func (a *repeatAgent) identify() {
	l := a.runs.Successor()
	if l == nil {
		return
	}
	sent, life, token := a.w.now, a.life, a.token()
	a.w.after(repeatLatency, func() {
		t, refused := a.dial(l)
		if refused || a.w.isLate() || t.self.ID != l.ID {
			return
		}
		if list := t.poll(token, 0, time.Time{}, sent); list != nil {
			a.later(life, repeatLatency, func() { a.runs.Identified(a.w.now, l, list) })
		}
	})
}

// keep saves the target's announcement for the agent's next process, as the store does.
func (a *repeatAgent) keep() {
	l := a.runs.Confirmed()
	if l == nil || a.kept != nil && a.kept.ID == l.ID && a.kept.Born == l.Born && a.kept.Draining == l.Draining {
		return
	}
	a.kept = l
}

// dial returns the process at an announced address, and whether the connection is refused.
func (a *repeatAgent) dial(l *runs.Instance) (*repeatTarget, bool) {
	if a.other != nil && l.Addr == otherAddr {
		return a.other, a.other.ended
	}
	t := a.target
	return t, t.ended || l.Addr != t.self.Addr || a.w.now.Before(a.refusedUntil)
}
