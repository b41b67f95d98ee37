package sched

import (
	"slices"
	"time"

	"persimmonstage/core/jobend"
	"persimmonstage/core/times"
)

// The load pattern: some jobs take several times as long as their estimate, all their tasks alike, and at times some targets run
// several times slower than before. Both show as a task that is far behind. A task of a long job that is moved loses its work and
// its deadline; one on a slow target that isn't moved is late. Other runs tell the two apart.

const (
	// reportTime is how long after its start an attempt that isn't forecast to be late counts as on time: agents evaluate progress
	// every 50 ms, with polls that take up to 120 ms.
	reportTime = 200 * time.Millisecond
	// slowPaceRatio is the ratio to the median pace from which on a target counts as slow: its other runs are late as well. It
	// exceeds the usual differences between targets.
	slowPaceRatio = 1.6
	// longQuantile is the quantile of a route's ratios of run time to estimate, times estimateSpread, up to which a late attempt may
	// be due to its job; unknownLong stands for it until it is known.
	longQuantile = 0.98
	unknownLong  = 1.75
	// estimateSpread is the factor by which estimates are off at most.
	estimateSpread = 1.75
)

// lateness is what makes an attempt late.
type lateness int

const (
	unexplained lateness = iota // no other run tells
	undecided                   // other tasks of the job will tell soon
	longJob
	slowTarget
)

// lateCause returns what makes an attempt late, by the job's tasks on other targets and by the pace of its target. median is the
// median pace.
func (s *Sched) lateCause(now time.Time, a *attempt, median float64) lateness {
	own := a.ratio(min(a.target.state.Pace, median))
	late, onTime, open := 0, 0, 0
	for i := range a.job.tasks {
		t := &a.job.tasks[i]
		ratio, on := t.ratio, t.ranAt
		if o := t.attempt; o != nil {
			on = o.target
			switch {
			case o.forecast != forecast{}:
				ratio = o.ratio(o.target.state.Pace)
			case !o.stopping && now.Sub(o.sent) >= reportTime:
				ratio = 1
			}
		}
		switch {
		case on == nil || on == a.target:
		case ratio == 0:
			open++
		case ratio*slowTargetFactor > own:
			late++
		default:
			onTime++
		}
	}
	slow := a.target.state.Pace >= slowPaceRatio*median && a.ratio(a.target.state.Pace) < slowTargetFactor
	switch {
	case late > onTime+open:
		return longJob
	case slow, onTime > late+open:
		return slowTarget
	case open > 0:
		return undecided
	case late == 0:
		return unexplained
	}
	return longJob
}

// ratio returns the ratio of the forecast to the expected run time at a pace.
func (a *attempt) ratio(pace float64) float64 {
	return float64(a.forecast.end.Sub(a.sent)) / (pace * float64(max(1, a.expected)))
}

// moveSuspects decides on the attempts that are far behind: one on a slow target is moved, once, and a long job gets another
// expected run time. Attempts that can't be decided on yet are kept.
func (s *Sched) moveSuspects(now time.Time) {
	if len(s.suspects) == 0 {
		return
	}
	median := s.medianPace()
	s.suspects = slices.DeleteFunc(s.suspects, func(a *attempt) bool {
		j := a.job
		if j.ended || a.stopping || a.target.attempts[a.id] != a {
			return true
		}
		t := &j.tasks[a.index]
		switch s.lateCause(now, a, median) {
		case longJob:
			s.foundLong(now, a)
			return true
		case slowTarget:
			t.moved = s.moveIfBetter(now, a)
		case unexplained:
			if s.mayTryElsewhere(now, a) {
				t.moved = s.moveIfBetter(now, a)
			}
		case undecided:
		}
		return t.moved
	})
}

// mayTryElsewhere reports whether to move an attempt without knowing what makes it late: no job of its route is known to be so long,
// or a move does no harm if its task is the cause, as the task would end before its deadline elsewhere too, or can't end in time
// where it is.
func (s *Sched) mayTryElsewhere(now time.Time, a *attempt) bool {
	long, known := s.spans.Ratio(a.job.batch.Route.Name, longQuantile)
	if !known {
		long = unknownLong
	}
	if estimateSpread*long < a.ratio(a.target.state.Pace) {
		return true
	}
	return a.earliestEnd(now).After(a.job.batch.Deadline) || s.canEndElsewhere(now, a, a.target.state.Pace)
}

// foundLong takes a late attempt as evidence that the whole job is long: its other tasks need fast targets, its objective, which
// follows from its work, is later, and the attempt is moved or given up if it can't end in time.
func (s *Sched) foundLong(now time.Time, a *attempt) {
	j := a.job
	j.long = true
	j.expected = max(j.expected, a.forecast.work)
	j.objective = times.Later(j.objective, j.arrived.Add(j.batch.Route.Objective(j.expected)))
	left := float64(a.forecast.end.Sub(now))
	s.setRisky(a, now.Add(time.Duration(riskyMargin*left)).After(j.batch.Deadline))
}

// isPressed reports whether a job's deadline rather than its objective limits which targets can serve it. If it waited for a target
// within tightMargin, which is hardly more than the error of measured paces, those that could just end it now would be lost as well.
func (j *job) isPressed(now time.Time) bool {
	return float64(j.batch.Deadline.Sub(now))/tightMargin < float64(j.objective.Sub(now))/objectiveMargin
}

// learnEnd records how long an attempt that ended well took compared with its estimate, and whether its forecasts held: a job is given
// up by the earliest possible end, so each early one stands for a job that would be given up wrongly.
func (t *task) learnEnd(now time.Time, a *attempt) {
	j := a.job
	run := float64(now.Sub(a.sent)) / a.target.state.Pace
	t.ranAt, t.ratio = a.target, run/float64(max(1, a.expected))
	j.longest = max(j.longest, time.Duration(run))
	if a.floor.IsZero() {
		return
	}
	j.forecasts++
	if now.Before(a.floor) {
		j.early++
	}
}

// learnSpan learns the run time of a job that is done, or that was given up with a forecast, for later jobs of its route.
func (s *Sched) learnSpan(now time.Time, j *job, f jobend.Outcome) {
	if f.Kind == jobend.Done || f.Kind == jobend.Unfinished && j.long {
		s.spans.Learn(now, j.batch.Route.Name, max(j.longest, j.forecastWork()), j.estimate)
	}
}

// forecastWork returns the longest work that is forecast for an open task of the job, at a pace of 1; 0 if none is.
func (j *job) forecastWork() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil {
			longest = max(longest, a.forecast.work)
		}
	}
	return longest
}
