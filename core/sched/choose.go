package sched

import (
	"slices"
	"time"
)

const (
	// margin is what the estimate of a run time is stretched by before it is compared with the time that is left.
	margin = 1.15
	// busyLoad is the part of all room in use from which on slow targets are given what they can do in time, so that fast ones
	// stay free for work that only they can do in time.
	busyLoad = 0.6
	// lateLoad is the part of all room in use up to which work is begun that can only be late.
	lateLoad = 0.8
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

// choose returns the target at which a task is attempted, nil if it has to wait. If it waits for a target that would serve it
// in time, targets as fast as that are kept from the jobs behind it.
func (s *Sched) choose(now time.Time, j *job, t *task) *target {
	left := j.objective.Sub(now)
	s.good, s.rest = s.good[:0], s.rest[:0]
	fastest := time.Duration(0)
	for _, to := range s.targets {
		run := time.Duration(float64(j.expected) * to.state.Pace)
		if !to.state.Usable || !to.connected || !s.fits(j, to) {
			continue
		}
		if fastest == 0 || run < fastest {
			fastest = run
		}
		if !s.room(now, j, t, to) {
			continue
		}
		c := candidate{target: to, run: run, free: to.freePart()}
		if time.Duration(margin*float64(run)) <= left {
			s.good = append(s.good, c)
		} else {
			s.rest = append(s.rest, c)
		}
	}
	if len(s.good) > 0 {
		return s.best(s.good)
	}
	if fastest > 0 && time.Duration(margin*float64(fastest)) <= left {
		if t.avoid == nil && j.batch.Apart == 0 {
			s.kept = max(s.kept, float64(left)/(margin*float64(j.expected)))
		}
		return nil
	}
	return s.late(now, j)
}

// best returns the target for a task among those that would serve it in time.
func (s *Sched) best(list []candidate) *target {
	busy := s.load > busyLoad
	c := slices.MinFunc(list, func(a, b candidate) int {
		if near := int(a.run-b.run) / int(max(a.run, b.run)/10+1); near != 0 {
			if busy {
				return -near
			}
			return near
		}
		if a.free > b.free {
			return -1
		}
		if a.free < b.free {
			return 1
		}
		return int(a.run - b.run)
	})
	return c.target
}

// late returns the fastest target that would serve a task before its deadline, if the job was begun or there is room to spare.
func (s *Sched) late(now time.Time, j *job) *target {
	if !j.begun && s.load > lateLoad {
		return nil
	}
	var best *candidate
	for i := range s.rest {
		c := &s.rest[i]
		if now.Add(c.run).After(j.batch.Deadline) {
			continue
		}
		if best == nil || c.run < best.run {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.target
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
