package sched

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/fate"
)

// How an attempt can end; an end tells that it doesn't run and won't.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	EndLapsed  = "lapsed"
	EndNoRoom  = "room"
	EndRefused = "refused"
	EndUnknown = "unknown"
)

// Join enters a target or takes its agent's new connection, and returns the attempts there that are still open. All that an
// earlier process of the agent ran is over.
func (s *Sched) Join(now time.Time, name, incarnation, dataCentre string, st TargetState) []uint64 {
	t := s.byName[name]
	if t == nil {
		t = &target{name: name, attempts: make(map[uint64]*attempt)}
		s.targets = append(s.targets, t)
		s.byName[name] = t
	}
	if t.incarnation != incarnation {
		s.lapse(now, t)
		t.failures = 0
	}
	t.incarnation, t.dataCentre, t.state, t.connected = incarnation, dataCentre, st, true
	t.state.Seen = 0
	t.recount()
	open := t.ids()
	for _, id := range open {
		if t.attempts[id].stopping {
			s.out.Stop(t.name, id)
		}
	}
	s.place(now)
	return open
}

// UpdateTarget takes an agent's newer word of its target.
func (s *Sched) UpdateTarget(now time.Time, name string, st TargetState) {
	t := s.byName[name]
	if t == nil || !t.connected {
		return
	}
	t.state = st
	t.recount()
	s.place(now)
}

// Disconnect notes that the connection of a target has ended; its attempts may go on until deadAt.
func (s *Sched) Disconnect(name string, deadAt time.Time) {
	if t := s.byName[name]; t != nil && t.connected {
		t.connected = false
		t.deadAt = deadAt
	}
}

// Ended takes the end of an attempt.
func (s *Sched) Ended(now time.Time, name string, id uint64, how string) {
	t := s.byName[name]
	if t == nil || t.attempts[id] == nil {
		return
	}
	s.ended(now, t.attempts[id], how)
	s.place(now)
}

// ids returns the open attempts of a target in their order.
func (t *target) ids() []uint64 {
	return slices.Sorted(maps.Keys(t.attempts))
}

// expireTargets ends the attempts at targets that were lost so long ago that nothing can run there, and forgets the targets.
func (s *Sched) expireTargets(now time.Time) {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		if t.connected || now.Before(t.deadAt) {
			return false
		}
		s.lapse(now, t)
		delete(s.byName, t.name)
		return true
	})
}

func (s *Sched) lapse(now time.Time, t *target) {
	for _, id := range t.ids() {
		s.ended(now, t.attempts[id], EndLapsed)
	}
}

func (s *Sched) ended(now time.Time, a *attempt, how string) {
	delete(a.target.attempts, a.id)
	a.target.recount()
	if s.open[a.name] == a {
		delete(s.open, a.name)
	}
	s.judge(now, a.target, how)
	if how != EndDone {
		s.out.AttemptEnded(a.name, a.number, a.target.name, how, now.Sub(a.sent))
	}
	j := a.job
	if j.ended {
		return
	}
	t := &j.tasks[a.index]
	t.attempt = nil
	switch how {
	case EndDone:
		t.done = true
		j.left--
		if j.left == 0 {
			s.end(now, j, fate.Outcome{Kind: fate.Done})
		}
		return
	case EndFailed:
		t.failures++
		if t.failures >= max(1, j.batch.Route.MaxAttempts) {
			s.end(now, j, fate.Outcome{Kind: fate.Failed, Reason: Exhausted})
			return
		}
		t.avoid = a.target
	case EndNoRoom:
		t.avoid = nil
	default:
		t.avoid = a.target
	}
	j.waiting++
	s.enqueue(j)
}

// judge counts failures in a row: a target that fails all that it starts gets one attempt at a time until one succeeds.
func (s *Sched) judge(now time.Time, t *target, how string) {
	switch how {
	case EndDone:
		t.failures = 0
	case EndFailed:
		t.failures++
		t.outUntil = now.Add(probePause)
	}
}
