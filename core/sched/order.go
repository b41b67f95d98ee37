package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonstage/core/times"
)

const (
	// startDeadlineFraction is the fraction of its objective that a job waits for its first start if its route is above its share.
	// After a quarter the remaining time is hardly enough for the work, and an early refusal is better for the caller.
	startDeadlineFraction = 0.15
	// shareDeadlineFraction is the same for other routes, whose jobs go first and so mostly wait for less than that.
	shareDeadlineFraction = 0.35
)

func startFraction(overShare bool) float64 {
	if overShare {
		return startDeadlineFraction
	}
	return shareDeadlineFraction
}

// compareUrgency orders waiting jobs. Jobs that can still meet their objective come first, and among these the started ones, as
// their finished work would be lost with one unfinished task. Then those of routes that keep to their share, so that a flood of
// one kind of work takes nothing from the others. The rest are ordered by start deadline.
func compareUrgency(a, b *job) int {
	return cmp.Or(
		compareBool(a.late, b.late), compareBool(b.started, a.started), compareBool(a.overShare, b.overShare),
		a.startDeadline.Compare(b.startDeadline),
	)
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markLate marks the waiting jobs that would miss their objective even if they were started now on the fastest target.
func (s *Sched) markLate(now time.Time) {
	clear(s.fastest)
	for _, j := range s.queue {
		service := j.batch.Route.Service
		pace, known := s.fastest[service]
		if !known {
			pace = s.fastestPace(service)
			s.fastest[service] = pace
		}
		j.overShare = s.shares.over[j.batch.Route.Name]
		j.late = now.Add(time.Duration(pace * float64(j.expected))).After(j.objective)
	}
}

// fastestPace returns the pace of a service's fastest usable target, 1 if there is none.
func (s *Sched) fastestPace(service string) float64 {
	least := 0.0
	for _, t := range s.targets {
		if t.available() && t.state.Service == service && (least == 0 || t.state.Pace < least) {
			least = t.state.Pace
		}
	}
	if least == 0 {
		return 1
	}
	return least
}

const (
	// startRateSpan is the time constant of the average rate of starts.
	startRateSpan = 300 * time.Millisecond
	// backlogAge is the waiting time of a job from which on the rate of starts is taken as the rate at which capacity becomes free.
	backlogAge = 10 * time.Millisecond
	// waitMargin is the factor by which a job's expected wait has to exceed its time to the start deadline to refuse it at once.
	waitMargin = 1.3
)

// startRate measures the rate of starts; the zero value is a rate of zero.
type startRate struct{ starts decayingSum }

func (r *startRate) add(now time.Time) { r.starts.add(now, startRateSpan, 1) }

// timeFor returns how long n starts take at the current rate.
func (r *startRate) timeFor(now time.Time, n int) time.Duration {
	return time.Duration(float64(n) / max(1, r.starts.value(now, startRateSpan)) * float64(startRateSpan))
}

// wouldWaitTooLong reports whether a new job would wait past its start deadline. While jobs are waiting, capacity is used as fast
// as it becomes free, so the wait follows from the tasks ahead and the rate of starts. Refusing now is better for the caller than
// refusing later.
func (s *Sched) wouldWaitTooLong(now time.Time, j *job) bool {
	if s.canStart(now, j) {
		return false
	}
	ahead, backlog := 1, false
	for _, o := range s.queue {
		if o.ended || o.waiting == 0 || now.Before(o.ready) || !o.precedes(j) || !s.sameTargets(o, j) {
			continue
		}
		ahead += o.waiting
		backlog = backlog || now.Sub(times.Later(o.arrived, o.ready)) > backlogAge
	}
	// Jobs of other routes will come and precede one that is above its share, so it gets only what its like got.
	rate := &s.startRate
	if j.overShare {
		rate = &s.overRate
	}
	here, elsewhere := s.served(now, j)
	if ahead > 1 && s.yields(here, elsewhere) {
		return true
	}
	return backlog && float64(rate.timeFor(now, ahead)) > fairness(here, elsewhere)*waitMargin*float64(j.startDeadline.Sub(now))
}

// canStart reports whether a target has room for a task of a new job that the jobs ahead have not taken and that is not reserved: they
// wait for other targets.
func (s *Sched) canStart(now time.Time, j *job) bool {
	_, tight := j.maxPaces(now)
	for _, to := range s.targets {
		if to.state.Pace <= tight && s.serves(j, to) && s.hasRoom(now, j, &j.tasks[0], to) {
			return true
		}
	}
	return false
}

// sameTargets reports whether two jobs of a service may use the same targets.
func (s *Sched) sameTargets(a, b *job) bool {
	nameA, nameB := a.batch.Route.Name, b.batch.Route.Name
	return nameA == nameB || !s.confined[nameA] && !s.confined[nameB]
}

// precedes reports whether an unstarted job is served before another one.
func (j *job) precedes(other *job) bool {
	return cmp.Or(compareBool(j.overShare, other.overShare), j.startDeadline.Compare(other.startDeadline)) < 0
}

// enqueue adds a job to the queue unless it is there.
func (s *Sched) enqueue(j *job) {
	if !slices.Contains(s.queue, j) {
		s.queue = append(s.queue, j)
	}
}

// place starts waiting tasks on targets with free capacity, the most urgent job first. The targets that would serve a job in time
// are reserved for it while they are full, so that the jobs behind it don't take them.
func (s *Sched) place(now time.Time) {
	if s.isRecovering(now) {
		return
	}
	s.reservedPace = 0
	s.moveSuspects(now)
	s.moveRisky(now)
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.ended || j.waiting == 0 })
	if len(s.queue) == 0 {
		return
	}
	s.shares.update(now, &s.fleet)
	s.markLate(now)
	s.load = s.utilisation()
	if s.findOpen(s.leastWaiting(now)); len(s.open) == 0 {
		return
	}
	slices.SortStableFunc(s.queue, compareUrgency)
	for _, j := range s.queue {
		s.placeJob(now, j)
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.ended || j.waiting == 0 })
}

// leastWaiting returns the least need of the waiting tasks that may be started now, in thousandths of a core; the highest value if there is
// none.
func (s *Sched) leastWaiting(now time.Time) uint64 {
	least := uint64(math.MaxUint64)
	for _, j := range s.queue {
		if !j.ended && j.waiting > 0 && !now.Before(j.ready) {
			least = min(least, j.batch.Millicores)
		}
	}
	return least
}

// findOpen finds the targets with room for a task of the given need. In an overload most states that come are of full targets, thousands a
// second, and going through all waiting jobs for each would take more processor time than an entry has.
func (s *Sched) findOpen(millicores uint64) {
	s.open = s.open[:0]
	for _, t := range s.targets {
		if t.available() && !t.state.Held && t.freeMillicores() >= millicores {
			s.open = append(s.open, t)
		}
	}
}

func (s *Sched) placeJob(now time.Time, j *job) {
	if j.ended || now.Before(j.ready) {
		return
	}
	asked := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.attempt != nil || s.openByTask[j.batch.TaskName(i)] != nil {
			continue
		}
		if !s.mayAttempt(j, i) {
			continue
		}
		to := s.choose(now, j, t)
		if to == nil {
			return
		}
		if !asked {
			asked = true
			if s.dropLeft(now, j); j.ended {
				return
			}
		}
		s.send(now, j, i, to)
	}
}

// send starts an attempt of a task.
func (s *Sched) send(now time.Time, j *job, i int, to *target) {
	s.lastAttempt++
	t := &j.tasks[i]
	t.number++
	a := &attempt{
		id: s.lastAttempt, job: j, index: i, name: j.batch.TaskName(i), number: t.number, target: to, expected: j.expected, sent: now,
	}
	t.attempt = a
	j.starts++
	to.attempts[a.id] = a
	to.sentMillicores += j.batch.Millicores
	to.sentMemoryMB += j.batch.MemoryMB
	s.openByTask[a.name] = a
	j.waiting--
	s.startRate.add(now)
	if j.overShare {
		s.overRate.add(now)
	}
	s.shares.started(now, j.batch.Route.Name, j.taskWork())
	if !j.started {
		j.started = true
		j.waited = now.Sub(j.arrived)
		s.out.JobStarted(j.waited)
	}
	s.out.Start(to.name, &Start{
		Attempt: a.id, Task: a.name, Route: j.batch.Route.Name, Number: t.number, Millicores: j.batch.Millicores, MemoryMB: j.batch.MemoryMB,
		ExpectedMS: uint32(max(1, j.expected.Milliseconds())), Payload: j.batch.Payload, Process: to.state.Process, StopBy: j.batch.Deadline,
	})
}
