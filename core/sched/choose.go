package sched

import (
	"slices"
	"time"
)

const (
	// objectiveMargin is what an expected run time is stretched by before it is compared with the time left to the objective.
	// A task that takes longer than expected also has a later objective, so little is enough.
	objectiveMargin = 1.05
	// safeMargin is the same for the deadline, which doesn't move: run times are known to some 30 %, so three in a hundred tasks
	// take longer than this.
	safeMargin = 1.7
	// fairMargin is the same where a safe target has no room.
	fairMargin = 1.1
	// safeWait is the share of its patience for which a job waits for a safe target before it takes a fair one.
	safeWait = 0.4
	// lateLoad is the part of all room in use up to which work is begun that can only be late.
	lateLoad = 0.8
	// alike is the ratio of two paces up to which targets count as equally fast.
	alike = 1.15
	// probeFailures is how many failures in a row let a target have one attempt at a time only.
	probeFailures = 3
	// probePause is how long such a target has nothing before the next attempt.
	probePause = 500 * time.Millisecond
)

// candidate is a target with room for a task and the expected run time there.
type candidate struct {
	target *target
	run    time.Duration
	free   float64
}

// choose returns the target at which a task is attempted, nil if it has to wait. Nobody gains by an answer long before the
// objective, so a task gets the slowest target that is safe for it, and the fast ones stay free for long tasks. If it waits for
// a target, targets as fast as that are kept from the jobs behind it.
func (s *Sched) choose(now time.Time, j *job, t *task) *target {
	safe, fair := j.paces(now)
	s.safe, s.fair, s.rest = s.safe[:0], s.fair[:0], s.rest[:0]
	safeSomewhere, fairSomewhere := false, false
	for _, to := range s.targets {
		if !to.state.Usable || !to.connected || !s.fits(j, to) {
			continue
		}
		pace := to.state.Pace
		safeSomewhere = safeSomewhere || pace <= safe
		fairSomewhere = fairSomewhere || pace <= fair
		if !s.room(now, j, t, to) {
			continue
		}
		c := candidate{target: to, run: time.Duration(float64(j.expected) * pace), free: to.freePart()}
		switch {
		case pace <= safe:
			s.safe = append(s.safe, c)
		case pace <= fair:
			s.fair = append(s.fair, c)
		default:
			s.rest = append(s.rest, c)
		}
	}
	switch {
	case len(s.safe) > 0:
		return slowest(s.safe)
	case safeSomewhere && s.mayWait(now, j):
		s.keep(j, safe)
		return nil
	case len(s.fair) > 0:
		return fastest(s.fair)
	case fairSomewhere:
		s.keep(j, fair)
		return nil
	}
	return s.late(now, j)
}

// paces returns up to which pace targets are safe and fair for a task of the job.
func (j *job) paces(now time.Time) (safe, fair float64) {
	objective := float64(j.objective.Sub(now)) / (objectiveMargin * float64(j.expected))
	left := float64(j.batch.Deadline.Sub(now)) / float64(j.expected)
	return min(objective, left/safeMargin), min(objective, left/fairMargin)
}

// mayWait reports whether it is early enough to wait for a safe target.
func (s *Sched) mayWait(now time.Time, j *job) bool {
	return now.Before(j.arrived.Add(time.Duration(safeWait * float64(j.patience.Sub(j.arrived)))))
}

// keep keeps targets up to a pace from the jobs behind one that waits for them, unless it waits for particular ones.
func (s *Sched) keep(j *job, pace float64) {
	if j.batch.Apart == 0 {
		s.kept = max(s.kept, pace)
	}
}

// slowest returns the target with most room among those that are about as slow as the slowest.
func slowest(list []candidate) *target {
	most := time.Duration(0)
	for i := range list {
		most = max(most, list[i].run)
	}
	return freest(list, func(run time.Duration) bool { return alike*float64(run) >= float64(most) })
}

// fastest returns the target with most room among those that are about as fast as the fastest.
func fastest(list []candidate) *target {
	least := list[0].run
	for i := range list {
		least = min(least, list[i].run)
	}
	return freest(list, func(run time.Duration) bool { return float64(run) <= alike*float64(least) })
}

func freest(list []candidate, among func(run time.Duration) bool) *target {
	var best *candidate
	for i := range list {
		c := &list[i]
		if among(c.run) && (best == nil || c.free > best.free) {
			best = c
		}
	}
	return best.target
}

// late returns the fastest target that would serve a task before its deadline, if the job was begun or there is room to spare.
func (s *Sched) late(now time.Time, j *job) *target {
	if !j.begun && s.load > lateLoad {
		return nil
	}
	s.rest = slices.DeleteFunc(s.rest, func(c candidate) bool { return now.Add(c.run).After(j.batch.Deadline) })
	if len(s.rest) == 0 {
		return nil
	}
	return fastest(s.rest)
}

// fits reports whether a target may run a job's tasks at all.
func (s *Sched) fits(j *job, to *target) bool {
	b := j.batch
	if to.state.Service != b.Route.Service || b.Millicores > to.state.Millicores || b.MemoryMB > to.state.MemoryMB {
		return false
	}
	return b.Label == "" || slices.Contains(to.state.Labels, b.Label)
}

// room reports whether a target can start a task of the job now.
func (s *Sched) room(now time.Time, j *job, t *task, to *target) bool {
	if to.state.Pace <= s.kept || t.avoid == to && len(s.targets) > 1 {
		return false
	}
	if to.failures >= probeFailures && (len(to.attempts) > 0 || now.Before(to.outUntil)) {
		return false
	}
	if j.batch.Apart > 0 && j.at(to) >= j.batch.Apart {
		return false
	}
	cpu, mem := to.used()
	return cpu+j.batch.Millicores <= to.state.Millicores && mem+j.batch.MemoryMB <= to.state.MemoryMB
}

// at returns how many tasks of the job are at a target.
func (j *job) at(to *target) int {
	n := 0
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil && a.target == to {
			n++
		}
	}
	return n
}

// used returns what is taken of a target: what its agent reported, and what was sent since.
func (t *target) used() (millicores, memoryMB uint64) {
	millicores, memoryMB = t.state.UsedMillicores, t.state.UsedMemoryMB
	for id, a := range t.attempts {
		if id > t.state.Seen {
			millicores += a.job.batch.Millicores
			memoryMB += a.job.batch.MemoryMB
		}
	}
	return millicores, memoryMB
}

// freePart returns the share of a target's cores that isn't taken.
func (t *target) freePart() float64 {
	used, _ := t.used()
	if t.state.Millicores == 0 || used >= t.state.Millicores {
		return 0
	}
	return 1 - float64(used)/float64(t.state.Millicores)
}

// utilisation returns the share of the usable targets' cores that is taken.
func (s *Sched) utilisation() float64 {
	used, all := uint64(0), uint64(0)
	for _, t := range s.targets {
		if t.state.Usable && t.connected {
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
