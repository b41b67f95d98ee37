package sched

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/jobend"
)

// Ways in which an attempt can end; after its end it doesn't run and won't be started.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	EndLapsed  = "lapsed"
	EndNoRoom  = "room"
	EndRefused = "refused"
	EndUnknown = "unknown"
	EndCrashed = "crashed" // the target's process ended while the attempt ran
)

// Join adds a target or a new connection of its agent, and returns its open attempts. Attempts started by an earlier process of
// the agent have ended.
func (s *Sched) Join(now time.Time, name, incarnation, dataCentre string, st TargetState) []uint64 {
	t := s.byName[name]
	if t == nil {
		t = &target{name: name, attempts: make(map[uint64]*attempt)}
		s.targets = append(s.targets, t)
		s.byName[name] = t
	}
	if t.incarnation != incarnation {
		s.lapseAttempts(now, t)
		t.failures = 0
	}
	t.incarnation, t.dataCentre, t.state, t.connected = incarnation, dataCentre, st, true
	t.state.Seen = 0
	t.recountSent()
	t.evacuated = s.evacuations.Holds(t.location())
	open := t.attemptIDs()
	for _, id := range open {
		if t.attempts[id].stopping {
			s.out.Stop(t.name, id)
		}
	}
	s.place(now)
	return open
}

// UpdateTarget replaces the state of a connected target.
func (s *Sched) UpdateTarget(now time.Time, name string, st TargetState) {
	t := s.byName[name]
	if t == nil || !t.connected {
		return
	}
	t.state = st
	t.recountSent()
	t.evacuated = s.evacuations.Holds(t.location())
	s.place(now)
}

// Disconnect marks a target as disconnected; its attempts may still run until expiresAt.
func (s *Sched) Disconnect(name string, expiresAt time.Time) {
	if t := s.byName[name]; t != nil && t.connected {
		t.connected = false
		t.expiresAt = expiresAt
	}
}

// Ended handles the report that an attempt has ended.
func (s *Sched) Ended(now time.Time, name string, id uint64, how string) {
	t := s.byName[name]
	if t == nil || t.attempts[id] == nil {
		return
	}
	s.endAttempt(now, t.attempts[id], how)
	s.place(now)
}

// attemptIDs returns the open attempts of a target in ascending order.
func (t *target) attemptIDs() []uint64 {
	return slices.Sorted(maps.Keys(t.attempts))
}

// expireTargets removes the targets that have been disconnected for so long that nothing can run there, and ends their attempts.
func (s *Sched) expireTargets(now time.Time) {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		if t.connected || now.Before(t.expiresAt) {
			return false
		}
		s.lapseAttempts(now, t)
		delete(s.byName, t.name)
		return true
	})
}

func (s *Sched) lapseAttempts(now time.Time, t *target) {
	for _, id := range t.attemptIDs() {
		s.endAttempt(now, t.attempts[id], EndLapsed)
	}
}

func (s *Sched) endAttempt(now time.Time, a *attempt, how string) {
	delete(a.target.attempts, a.id)
	a.target.recountSent()
	if s.openByTask[a.name] == a {
		delete(s.openByTask, a.name)
	}
	s.countFailure(now, a.target, how)
	if how != EndDone {
		s.out.AttemptEnded(a.name, a.number, a.target.name, how, now.Sub(a.sent))
	}
	j := a.job
	if how == EndNoRoom {
		s.shares.rejected(now, j.batch.Route.Name, j.taskWork())
	}
	if by := now.Sub(j.batch.ResubmitAt); by > 0 && !j.batch.ResubmitAt.IsZero() {
		s.out.AttemptOutlasted(a.name, a.number, a.target.name, how, by)
	}
	if j.ended {
		return
	}
	t := &j.tasks[a.index]
	t.attempt = nil
	switch how {
	case EndDone:
		t.done = true
		t.learnEnd(now, a)
		j.left--
		if j.left == 0 {
			s.endJob(now, j, jobend.Outcome{Kind: jobend.Done})
		}
		return
	case EndFailed:
		t.failures++
		if t.failures >= max(1, j.batch.Route.MaxAttempts) {
			s.endJob(now, j, jobend.Outcome{Kind: jobend.Failed, Reason: Exhausted})
			return
		}
		t.avoid = a.target
	case EndCrashed:
		if s.blame.Proven(a.name) {
			s.endJob(now, j, jobend.Outcome{Kind: jobend.Failed, Reason: Crashing})
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

// countFailure counts consecutive failures: after probeFailures of them a target gets one attempt at a time until one succeeds.
func (s *Sched) countFailure(now time.Time, t *target, how string) {
	switch how {
	case EndDone:
		t.failures = 0
	case EndFailed:
		t.failures++
		t.pausedUntil = now.Add(probePause)
	}
}
