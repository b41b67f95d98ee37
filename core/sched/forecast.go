package sched

import (
	"slices"
	"time"

	"persimmonstage/core/jobend"
	"persimmonstage/core/times"
)

const (
	// slowTargetFactor is the ratio of forecast to expected run time above which an attempt is far behind: estimates are off by
	// about 30 %, so that either the job is long or the target slow.
	slowTargetFactor = 2.2
	// stopTime is about the time from a stop order to the report of the attempt's end.
	stopTime = 40 * time.Millisecond
	// progressTimeError is the possible error of the time at which an agent read an attempt's progress.
	progressTimeError = 15 * time.Millisecond
	// riskyMargin is the factor on the remaining run time; an attempt that would miss the deadline with it is moved.
	riskyMargin = 1.08
	// fasterPaceRatio is the highest pace, relative to its present target, of a target that a too long task is moved to.
	fasterPaceRatio = 0.75
)

// forecast is an agent's forecast of an attempt's end; the zero value is none.
type forecast struct {
	end  time.Time
	work time.Duration // of the task, at a pace of 1
}

// earliestEnd returns the earliest possible end of the attempt. The time at which its progress was read may be off by
// progressTimeError, which matters more the shorter the attempt has run.
func (a *attempt) earliestEnd(now time.Time) time.Time {
	ran := now.Sub(a.sent)
	if ran <= progressTimeError {
		return now
	}
	whole := a.forecast.end.Sub(a.sent)
	return a.forecast.end.Add(-time.Duration(float64(progressTimeError) * float64(whole) / float64(ran)))
}

// Forecast handles an agent's report that an attempt will take unusually long.
//
// If the target is slow, the task is moved to another target once, provided that its caller gains time. A task that is too long for
// its target is moved to a faster one, and runs on until there is room for it. If no target could end it before the deadline, the
// job is ended now, which frees its capacity for other jobs.
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
	a.floor = times.Later(a.floor, a.earliestEnd(now))
	usual := time.Duration(float64(a.expected) * min(t.state.Pace, s.medianPace()))
	switch {
	case j.long || j.tasks[a.index].moved || float64(whole) <= slowTargetFactor*float64(usual):
		s.foundLong(now, a)
	case !slices.Contains(s.suspects, a):
		s.suspects = append(s.suspects, a)
	}
	if len(s.risky) > 0 || len(s.suspects) > 0 {
		s.place(now)
	}
}

// setRisky adds an attempt to the risky ones or removes it.
func (s *Sched) setRisky(a *attempt, risky bool) {
	at := slices.Index(s.risky, a)
	switch {
	case risky && at < 0:
		s.risky = append(s.risky, a)
	case !risky && at >= 0:
		s.risky = slices.Delete(s.risky, at, at+1)
	}
}

// moveRisky moves the tasks that would miss their deadline on their target. If no faster target has room for a task, such targets
// are reserved for it; its job is ended when no target could end the task in time any more.
func (s *Sched) moveRisky(now time.Time) {
	list := s.risky
	s.risky = s.risky[:0]
	for _, a := range list {
		j := a.job
		if j.ended || a.stopping || a.target.attempts[a.id] != a {
			continue
		}
		faster := fasterPaceRatio * a.target.state.Pace
		switch {
		case s.move(now, a, a.forecast.work, faster, j.batch.Deadline):
		case s.canEndElsewhere(now, a, faster):
			s.reservePace(j, faster)
			s.risky = append(s.risky, a)
		case a.earliestEnd(now).After(j.batch.Deadline):
			s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: TooLong})
		default:
			s.risky = append(s.risky, a)
		}
	}
}

// canEndElsewhere reports whether another target of at most the given pace, full or not, could end an attempt's task in time.
func (s *Sched) canEndElsewhere(now time.Time, a *attempt, most float64) bool {
	for _, to := range s.targets {
		if to != a.target && to.state.Pace <= most && s.serves(a.job, to) &&
			!now.Add(rerunTime(a.forecast.work, to)).After(a.job.batch.Deadline) {
			return true
		}
	}
	return false
}

// rerunTime returns how long it takes to stop an attempt and run its work on another target.
func rerunTime(work time.Duration, to *target) time.Duration {
	return stopTime + time.Duration(tightMargin*to.state.Pace*float64(work))
}

// move stops an attempt if another target with room and at most the given pace would end its task earlier and by the given time;
// the task is placed again once the attempt has ended. It reports whether it stopped the attempt.
func (s *Sched) move(now time.Time, a *attempt, work time.Duration, most float64, by time.Time) bool {
	j := a.job
	t := &j.tasks[a.index]
	reservedPace := s.reservedPace
	s.reservedPace = 0
	defer func() { s.reservedPace = reservedPace }()
	end := times.Earlier(a.forecast.end, by).Sub(now)
	for _, to := range s.targets {
		if to != a.target && to.state.Pace <= most && s.serves(j, to) && s.hasRoom(now, j, t, to) && rerunTime(work, to) <= end {
			s.out.TaskMoved(j.batch.ID, a.target.name, a.forecast.end.Sub(now).Milliseconds())
			s.stop(a)
			return true
		}
	}
	return false
}

// usefulObjectives is the number of objectives after which an answer is of no more use to the caller.
const usefulObjectives = 3

// usefulUntil returns the time until which an answer is of use to a job's caller.
func (j *job) usefulUntil() time.Time {
	return times.Earlier(j.arrived.Add(usefulObjectives*j.objective.Sub(j.arrived)), j.batch.Deadline)
}

// moveIfBetter moves an attempt from a slow target if only the move makes its answer meet the objective, or be of use at all:
// otherwise the discarded work would be capacity lost to other jobs. It reports whether it moved the attempt.
func (s *Sched) moveIfBetter(now time.Time, a *attempt) bool {
	j := a.job
	for _, by := range []time.Time{j.objective, j.usefulUntil()} {
		if !a.forecast.end.After(by) {
			return false
		}
		if s.move(now, a, a.expected, a.target.state.Pace, by) {
			return true
		}
	}
	return false
}

// medianPace returns the median pace of the available targets, 1 if there are none.
func (s *Sched) medianPace() float64 {
	s.paces = s.paces[:0]
	for _, t := range s.targets {
		if t.available() {
			s.paces = append(s.paces, t.state.Pace)
		}
	}
	if len(s.paces) == 0 {
		return 1
	}
	slices.Sort(s.paces)
	return s.paces[len(s.paces)/2]
}
