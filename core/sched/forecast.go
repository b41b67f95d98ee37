package sched

import (
	"slices"
	"time"

	"persimmonstage/core/fate"
	"persimmonstage/core/when"
)

const (
	// targetsFault is how many times its expected time an attempt has to take for its target to be blamed: run times are known
	// to some 30 %, so so much more is hardly the task's own.
	targetsFault = 2.2
	// stopTime is about how long it takes until a stopped attempt is known to be over.
	stopTime = 40 * time.Millisecond
	// lookError is by how much the time may be off at which an agent saw an attempt's progress.
	lookError = 15 * time.Millisecond
	// riskyMargin is how close to the deadline an attempt may come for its task not to be moved to a faster target.
	riskyMargin = 1.08
	// fasterPace is the ratio of paces at which a task too long for its target is attempted at a faster one.
	fasterPace = 0.75
)

// forecast is when an attempt will end, as its agent foretold it; the zero value is none.
type forecast struct {
	end  time.Time
	work time.Duration // of the task, at a pace of 1
}

// earliest returns when the attempt may end at the earliest. The time at which its progress was seen may be off a little, which
// counts the more, the less of it is done.
func (a *attempt) earliest(now time.Time) time.Time {
	ran := now.Sub(a.sent)
	if ran <= lookError {
		return now
	}
	whole := a.forecast.end.Sub(a.sent)
	return a.forecast.end.Add(-time.Duration(float64(lookError) * float64(whole) / float64(ran)))
}

// Forecast takes an agent's word that an attempt takes unusually long.
//
// If the target seems to be slow, the task is moved to another once, if its caller gains by it; if it is slow there as well, it is
// the task that is long. A task too long for its target is moved to a faster one, or waits where it is for room there. If it is too
// long for the deadline anywhere, the job is given up now, which frees its room for jobs that can end in time.
func (s *Sched) Forecast(now time.Time, name string, id uint64, left time.Duration) {
	t := s.byName[name]
	if t == nil || t.attempts[id] == nil {
		return
	}
	a := t.attempts[id]
	j := a.job
	if j.ended || a.stopping {
		return
	}
	whole := now.Add(left).Sub(a.sent)
	a.forecast = forecast{end: now.Add(left), work: time.Duration(float64(whole) / t.state.Pace)}
	usual := time.Duration(float64(a.expected) * min(t.state.Pace, s.medianPace()))
	if task := &j.tasks[a.index]; float64(whole) > targetsFault*float64(usual) && !task.moved {
		s.unstick(now, a)
		return
	}
	j.expected = max(j.expected, a.forecast.work)
	s.watch(a, now.Add(time.Duration(riskyMargin*float64(left))).After(j.batch.Deadline))
	if len(s.risky) > 0 {
		s.place(now)
	}
}

// watch enters an attempt among the risky ones, or takes it from them.
func (s *Sched) watch(a *attempt, risky bool) {
	at := slices.Index(s.risky, a)
	switch {
	case risky && at < 0:
		s.risky = append(s.risky, a)
	case !risky && at >= 0:
		s.risky = slices.Delete(s.risky, at, at+1)
	}
}

// rescue moves the tasks that would miss their deadline where they are. One that finds no room at a faster target keeps such
// targets from the jobs that wait, and is given up when none could end it in time any more.
func (s *Sched) rescue(now time.Time) {
	list := s.risky
	s.risky = s.risky[:0]
	for _, a := range list {
		j := a.job
		if j.ended || a.stopping || a.target.attempts[a.id] != a {
			continue
		}
		faster := fasterPace * a.target.state.Pace
		switch {
		case s.move(now, a, a.forecast.work, faster, j.batch.Deadline):
		case s.rescuable(now, a, faster):
			s.keep(j, faster)
			s.risky = append(s.risky, a)
		case a.earliest(now).After(j.batch.Deadline):
			s.end(now, j, fate.Outcome{Kind: fate.Unfinished, Reason: TooLong})
		default:
			s.risky = append(s.risky, a)
		}
	}
}

// rescuable reports whether a target of at most the given pace, full or not, could end an attempt's task in time.
func (s *Sched) rescuable(now time.Time, a *attempt, most float64) bool {
	for _, to := range s.targets {
		if to != a.target && to.state.Pace <= most && s.serves(a.job, to) &&
			!now.Add(again(a.forecast.work, to)).After(a.job.batch.Deadline) {
			return true
		}
	}
	return false
}

// again returns how long it takes to stop an attempt and run its work at another target.
func again(work time.Duration, to *target) time.Duration {
	return stopTime + time.Duration(fairMargin*to.state.Pace*float64(work))
}

// move stops an attempt if a target with room and at most the given pace would end its task earlier and by a time, so that it is
// placed anew once the attempt is over; it reports whether it did.
func (s *Sched) move(now time.Time, a *attempt, work time.Duration, most float64, by time.Time) bool {
	j := a.job
	t := &j.tasks[a.index]
	kept := s.kept
	s.kept = 0
	defer func() { s.kept = kept }()
	end := when.Earlier(a.forecast.end, by).Sub(now)
	for _, to := range s.targets {
		if to != a.target && to.state.Pace <= most && s.serves(j, to) && s.room(now, j, t, to) && again(work, to) <= end {
			s.out.TaskMoved(j.batch.ID, a.target.name, a.forecast.end.Sub(now).Milliseconds())
			s.stop(a)
			return true
		}
	}
	return false
}

// lateObjectives is up to how many times its objective an answer is of some use to its caller.
const lateObjectives = 3

// unstick moves an attempt from a target that seems to be slow, now or as soon as there is room: a target at which tasks hang goes
// on to be silent, and the next word of it may come when the room is taken again.
func (s *Sched) unstick(now time.Time, a *attempt) {
	task := &a.job.tasks[a.index]
	switch {
	case s.moveIfBetter(now, a):
		task.moved = true
	case s.gains(now, a) && !slices.Contains(s.stuck, a):
		s.stuck = append(s.stuck, a)
	}
}

// retryStuck tries again to move the attempts that found no room.
func (s *Sched) retryStuck(now time.Time) {
	list := s.stuck
	s.stuck = nil
	for _, a := range list {
		if !a.job.ended && !a.stopping && a.target.attempts[a.id] == a {
			s.unstick(now, a)
		}
	}
}

// gains reports whether the caller would gain if an attempt were moved once there is room at the fastest target.
func (s *Sched) gains(now time.Time, a *attempt) bool {
	for _, to := range s.targets {
		if to != a.target && to.state.Pace <= a.target.state.Pace && s.serves(a.job, to) && !now.Add(again(a.expected, to)).After(a.job.useful()) {
			return true
		}
	}
	return false
}

// useful returns until when an answer is of use to a job's caller.
func (j *job) useful() time.Time {
	return when.Earlier(j.arrived.Add(lateObjectives*j.objective.Sub(j.arrived)), j.batch.Deadline)
}

// moveIfBetter moves an attempt from a target that seems to be slow, if its answer comes in time only then, or is of use only then:
// work thrown away for an answer that is as late as before is lost for others. It reports whether it did.
func (s *Sched) moveIfBetter(now time.Time, a *attempt) bool {
	j := a.job
	for _, by := range []time.Time{j.objective, j.useful()} {
		if !a.forecast.end.After(by) {
			return false
		}
		if s.move(now, a, a.expected, a.target.state.Pace, by) {
			return true
		}
	}
	return false
}

// medianPace returns the median pace of the usable targets, 1 if there are none.
func (s *Sched) medianPace() float64 {
	s.paces = s.paces[:0]
	for _, t := range s.targets {
		if t.open() {
			s.paces = append(s.paces, t.state.Pace)
		}
	}
	if len(s.paces) == 0 {
		return 1
	}
	slices.Sort(s.paces)
	return s.paces[len(s.paces)/2]
}
