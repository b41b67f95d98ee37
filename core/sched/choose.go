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
	// alike is the ratio of two paces up to which targets count as equally fast: what is learned of a pace is off by a tenth.
	alike = 1.3
	// draws is how many targets are drawn at random to take the best of: entries that all took the best of all would meet at one
	// target and be refused there for want of room.
	draws = 3
	// probeFailures is how many failures in a row let a target have one attempt at a time only.
	probeFailures = 3
	// probePause is how long such a target has nothing before the next attempt.
	probePause = 500 * time.Millisecond
)

// candidate is a target with room for a task and the expected run time there.
type candidate struct {
	target *target
	run    time.Duration
	free   float64 // part of its cores
	last   bool    // it has room for this task and no other
}

// choose returns the target at which a task is attempted, nil if it has to wait. Nobody gains by an answer long before the
// objective, so a task gets a slow target that is safe for it, and the fast ones stay free for long tasks. If it waits for a
// target, targets as fast as that are kept from the jobs behind it.
func (s *Sched) choose(now time.Time, j *job, t *task) *target {
	safe, fair := j.paces(now)
	s.safe, s.fair, s.rest = s.safe[:0], s.fair[:0], s.rest[:0]
	safeSomewhere, fairSomewhere := false, false
	for _, to := range s.targets {
		if !s.serves(j, to) {
			continue
		}
		pace := to.state.Pace
		safeSomewhere = safeSomewhere || pace <= safe
		fairSomewhere = fairSomewhere || pace <= fair
		if !s.room(now, j, t, to) {
			continue
		}
		c := candidate{target: to, run: time.Duration(float64(j.expected) * pace), free: to.freePart(), last: to.free() < 2*j.batch.Millicores}
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
		return s.pick(s.safe, slower)
	case safeSomewhere && s.mayWait(now, j):
		s.keep(j, safe)
		return nil
	case len(s.fair) > 0:
		return s.pick(s.fair, faster)
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
	if j.batch.MaxPerTarget == 0 {
		s.kept = max(s.kept, pace)
	}
}

// pick returns the best of some targets drawn at random from list: those with room for more than one task go first, then those
// that better prefers if they differ in speed, then those with more room. It reorders list.
func (s *Sched) pick(list []candidate, better func(a, b *candidate) bool) *target {
	best := s.draw(list, 0)
	for i := 1; i < min(draws, len(list)); i++ {
		c := s.draw(list, i)
		if c.beats(best, better) {
			best = c
		}
	}
	return best.target
}

// draw moves a random one of the candidates from i on to the front of these and returns it.
func (s *Sched) draw(list []candidate, i int) *candidate {
	k := i + s.rng.IntN(len(list)-i)
	list[i], list[k] = list[k], list[i]
	return &list[i]
}

func (c *candidate) beats(other *candidate, better func(a, b *candidate) bool) bool {
	switch {
	case c.last != other.last:
		return other.last
	case better(c, other):
		return true
	case better(other, c):
		return false
	}
	return c.free > other.free
}

func slower(a, b *candidate) bool { return float64(a.run) > alike*float64(b.run) }

func faster(a, b *candidate) bool { return slower(b, a) }

// late returns the fastest target that would serve a task before its deadline, if the job was begun or there is room to spare.
func (s *Sched) late(now time.Time, j *job) *target {
	if !j.begun && s.load > lateLoad {
		return nil
	}
	s.rest = slices.DeleteFunc(s.rest, func(c candidate) bool { return now.Add(c.run).After(j.batch.Deadline) })
	if len(s.rest) == 0 {
		return nil
	}
	return s.pick(s.rest, faster)
}

// serves reports whether a target takes tasks of the job at present, if it has room.
func (s *Sched) serves(j *job, to *target) bool {
	return to.open() && s.fits(j, to)
}

// open reports whether a target takes tasks at present.
func (t *target) open() bool { return t.connected && t.state.Usable }

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
	if to.state.Held || to.state.Pace <= s.kept || t.avoid == to && len(s.targets) > 1 {
		return false
	}
	if to.failures >= probeFailures && (len(to.attempts) > 0 || now.Before(to.outUntil)) {
		return false
	}
	if j.batch.MaxPerTarget > 0 && j.at(to) >= j.batch.MaxPerTarget {
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
	return t.state.UsedMillicores + t.sentMillicores, t.state.UsedMemoryMB + t.sentMemoryMB
}

// recount sums up what was sent to a target after what its agent's last word took into account.
func (t *target) recount() {
	t.sentMillicores, t.sentMemoryMB = 0, 0
	for id, a := range t.attempts {
		if id > t.state.Seen {
			t.sentMillicores += a.job.batch.Millicores
			t.sentMemoryMB += a.job.batch.MemoryMB
		}
	}
}

// free returns a target's cores that aren't taken, in thousandths.
func (t *target) free() uint64 {
	used, _ := t.used()
	return t.state.Millicores - min(used, t.state.Millicores)
}

// freePart returns the share of a target's cores that isn't taken.
func (t *target) freePart() float64 {
	return float64(t.free()) / float64(max(1, t.state.Millicores))
}

// utilisation returns the share of the usable targets' cores that is taken.
func (s *Sched) utilisation() float64 {
	used, all := uint64(0), uint64(0)
	for _, t := range s.targets {
		if t.open() {
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
