package sched

import (
	"slices"
	"time"
)

const (
	// objectiveMargin is the factor on the expected run time when it is compared with the time left to the objective. A small
	// margin is enough, as a task that takes longer than expected also has a later objective.
	objectiveMargin = 1.05
	// safeMargin is the same for the deadline, which is fixed: estimates are off by about 30 %, so 3 % of the tasks take longer.
	safeMargin = 1.7
	// tightMargin is the margin for the deadline if the targets that satisfy safeMargin are full.
	tightMargin = 1.1
	// safeWaitFraction is the fraction of the time to its start deadline that a job waits for a target within safeMargin.
	safeWaitFraction = 0.4
	// maxLateLoad is the load up to which jobs are started that will miss their objective.
	maxLateLoad = 0.8
	// probeFailures is the number of consecutive failures from which on a target gets only one attempt at a time.
	probeFailures = 3
	// probePause is the time from a failure on such a target to its next attempt.
	probePause = 500 * time.Millisecond
)

// choose returns the target for a task, nil if the task has to wait. An answer long before the objective has no advantage, so the
// task gets a slow target that meets its objective and safeMargin, and the fast ones stay free for long tasks. If the task waits,
// targets that are fast enough for it are reserved, so that the jobs behind it don't take them.
func (s *Sched) choose(now time.Time, j *job, t *task) *target {
	safe, tight := j.maxPaces(now)
	s.safe, s.tight, s.rest = s.safe[:0], s.tight[:0], s.rest[:0]
	partners := s.partners(j)
	for _, to := range s.open {
		if !s.serves(j, to) || !s.hasRoom(now, j, t, to) {
			continue
		}
		pace := to.state.Pace
		c := candidate{
			target: to, run: time.Duration(float64(j.expected) * pace), freeFraction: to.freeFraction(),
			lastSlot: to.freeMillicores() < 2*j.batch.Millicores, slowdown: to.slowdown(partners),
		}
		switch {
		case pace <= safe:
			s.safe = append(s.safe, c)
		case pace <= tight:
			s.tight = append(s.tight, c)
		default:
			s.rest = append(s.rest, c)
		}
	}
	switch {
	case len(s.safe) > 0:
		return s.pick(s.safe, economical)
	case s.mayWaitForSafe(now, j) && s.servesAt(now, j, t, safe):
		s.reservePace(j, safe)
		return nil
	case len(s.tight) > 0:
		return s.pick(s.tight, urgent)
	case s.servesAt(now, j, t, tight):
		if j.isPressed(now) {
			if to := s.chooseLate(now, j); to != nil {
				return to
			}
		}
		s.reservePace(j, tight)
		return nil
	}
	return s.chooseLate(now, j)
}

// servesAt reports whether a target of at most the given pace, full or not, may be used for a task.
func (s *Sched) servesAt(now time.Time, j *job, t *task, pace float64) bool {
	return slices.ContainsFunc(s.targets, func(to *target) bool {
		return to.state.Pace <= pace && s.serves(j, to) && !s.forbids(now, j, t, to)
	})
}

// maxPaces returns the highest paces at which a target meets the objective and satisfies safeMargin or tightMargin.
func (j *job) maxPaces(now time.Time) (safe, tight float64) {
	objective := float64(j.objective.Sub(now)) / (objectiveMargin * float64(j.expected))
	left := float64(j.batch.Deadline.Sub(now)) / float64(j.expected)
	return min(objective, left/safeMargin), min(objective, left/tightMargin)
}

// mayWaitForSafe reports whether it is early enough to wait for a target within safeMargin.
func (s *Sched) mayWaitForSafe(now time.Time, j *job) bool {
	return now.Before(j.arrived.Add(time.Duration(safeWaitFraction * float64(j.startDeadline.Sub(j.arrived)))))
}

// reservePace reserves the targets up to a pace for a waiting job, unless it waits for particular targets (MaxPerTarget, or those
// of confined routes).
func (s *Sched) reservePace(j *job, pace float64) {
	if j.batch.MaxPerTarget == 0 && !s.confined[j.batch.Route.Name] {
		s.reservedPace = max(s.reservedPace, pace)
	}
}

// chooseLate returns a fast target that would end a task before the deadline but after the objective; an unstarted job gets one
// only while the load is at most maxLateLoad.
func (s *Sched) chooseLate(now time.Time, j *job) *target {
	if !j.started && s.load > maxLateLoad {
		return nil
	}
	s.rest = slices.DeleteFunc(s.rest, func(c candidate) bool { return now.Add(c.run).After(j.batch.Deadline) })
	if len(s.rest) == 0 {
		return nil
	}
	return s.pick(s.rest, urgent)
}

// serves reports whether a target currently accepts tasks of the job, regardless of its free capacity.
func (s *Sched) serves(j *job, to *target) bool {
	return to.available() && s.admits(j, to) && s.fits(j, to)
}

// available reports whether a target is connected and usable, and its data centre isn't evacuated.
func (t *target) available() bool { return t.connected && t.state.Usable && !t.evacuated }

// fits reports whether a target has the service, total capacity and label that a job's tasks need.
func (s *Sched) fits(j *job, to *target) bool {
	b := j.batch
	if to.state.Service != b.Route.Service || b.Millicores > to.state.Millicores || b.MemoryMB > to.state.MemoryMB {
		return false
	}
	return b.Label == "" || slices.Contains(to.state.Labels, b.Label)
}

// hasRoom reports whether a target that serves the job can start the task now.
func (s *Sched) hasRoom(now time.Time, j *job, t *task, to *target) bool {
	if to.state.Held || to.state.Pace <= s.reservedPace && to.isolatedFor == "" || s.forbids(now, j, t, to) {
		return false
	}
	if to.failures >= probeFailures && (len(to.attempts) > 0 || now.Before(to.pausedUntil)) {
		return false
	}
	if j.batch.MaxPerTarget > 0 && j.tasksAt(to) >= j.batch.MaxPerTarget {
		return false
	}
	cpu, mem := to.used()
	return cpu+j.batch.Millicores <= to.state.Millicores && mem+j.batch.MemoryMB <= to.state.MemoryMB
}

// isLastAttempt reports whether one more failure of a task fails its job.
func (j *job) isLastAttempt(t *task) bool {
	return t.failures > 0 && t.failures+1 >= j.batch.Route.MaxAttempts
}

// hasSound reports whether a target that fails nothing would end the task before the deadline, full or not.
func (s *Sched) hasSound(now time.Time, j *job, t *task) bool {
	return slices.ContainsFunc(s.targets, func(to *target) bool {
		run := time.Duration(to.state.Pace * float64(j.expected))
		return to.state.Failing == 0 && to != t.avoid && s.serves(j, to) && !now.Add(run).After(j.batch.Deadline)
	})
}

// forbids reports whether a task must not be attempted at a target that serves its job, also once that has room.
func (s *Sched) forbids(now time.Time, j *job, t *task, to *target) bool {
	return t.avoid == to && len(s.targets) > 1 || to.state.Failing > 0 && j.isLastAttempt(t) && s.hasSound(now, j, t)
}

// tasksAt returns the number of the job's tasks with an attempt on a target.
func (j *job) tasksAt(to *target) int {
	n := 0
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil && a.target == to {
			n++
		}
	}
	return n
}

// used returns the used capacity of a target: what its agent reported, and what was sent since.
func (t *target) used() (millicores, memoryMB uint64) {
	return t.state.UsedMillicores + t.sentMillicores, t.state.UsedMemoryMB + t.sentMemoryMB
}

// recountSent sums up the capacity of the attempts that the agent's last report doesn't include.
func (t *target) recountSent() {
	t.sentMillicores, t.sentMemoryMB = 0, 0
	for id, a := range t.attempts {
		if id > t.state.Seen {
			t.sentMillicores += a.job.batch.Millicores
			t.sentMemoryMB += a.job.batch.MemoryMB
		}
	}
}

// freeMillicores returns the free CPU capacity of a target.
func (t *target) freeMillicores() uint64 {
	used, _ := t.used()
	return t.state.Millicores - min(used, t.state.Millicores)
}

// freeFraction returns the free fraction of a target's cores.
func (t *target) freeFraction() float64 {
	return float64(t.freeMillicores()) / float64(max(1, t.state.Millicores))
}

// utilisation returns the used fraction of the available targets' cores, 1 if there are none.
func (s *Sched) utilisation() float64 {
	used, all := uint64(0), uint64(0)
	for _, t := range s.targets {
		if t.available() {
			u, _ := t.used()
			used += u
			all += t.state.Millicores
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}
