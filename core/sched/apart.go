package sched

import (
	"math"
	"time"

	"persimmonstage/core/pairs"
)

// KeepApart makes the scheduler estimate which routes slow each other down on one target, and prefer targets for a task on which nothing
// runs that it conflicts with; changed is called for each pair that begins or ceases to be kept apart.
func (s *Sched) KeepApart(changed func(c pairs.Change)) {
	s.pairs, s.pairChanged = pairs.New(), changed
}

// ApartKinds returns the kinds of which the scheduler has to know where they run.
func (s *Sched) ApartKinds() []pairs.Kind {
	if s.pairs == nil {
		return nil
	}
	return s.pairs.Apart()
}

// Measured records how long an attempt that is about to end as done ran, and what ran beside it.
func (s *Sched) Measured(name string, id uint64, ran time.Duration, beside []pairs.Share) {
	t := s.byName[name]
	if s.pairs == nil || t == nil || t.attempts[id] == nil || ran <= 0 {
		return
	}
	a := t.attempts[id]
	j := a.job
	if j.measuredExpected == 0 {
		j.measuredExpected = a.expected
	}
	ratio := float64(ran) / (float64(max(1, j.measuredExpected)) * t.state.Pace)
	j.measured = append(j.measured, pairs.Sample{Target: name, Log: math.Log(ratio), Beside: beside})
}

// learnPairs learns from the measured tasks of a job that has ended.
func (s *Sched) learnPairs(j *job) {
	if len(j.measured) > 0 {
		s.reportPairs(s.pairs.Learn(j.batch.Route.Name, j.measured))
	}
}

// decayPairs reduces the weight of old evidence on pairs.
func (s *Sched) decayPairs(now time.Time) {
	if s.pairs != nil {
		s.reportPairs(s.pairs.Decay(now))
	}
}

func (s *Sched) reportPairs(list []pairs.Change) {
	for i := range list {
		s.pairChanged(list[i])
	}
}

// partners returns the kinds to keep a job's tasks apart from.
func (s *Sched) partners(j *job) []pairs.Partner {
	if s.pairs == nil {
		return nil
	}
	return s.pairs.Partners(pairs.KindOf(j.batch.Route.Name))
}

// slowdown returns how much a task and the runs of its partners on a target would slow each other down. Runs are counted as in used.
func (t *target) slowdown(partners []pairs.Partner) float64 {
	sum := 0.0
	for _, p := range partners {
		n := 0
		for _, k := range t.state.Beside {
			if k == p.Kind {
				n++
			}
		}
		for id, a := range t.attempts {
			if id > t.state.Seen && pairs.KindOf(a.job.batch.Route.Name) == p.Kind {
				n++
			}
		}
		sum += float64(n) * p.Slowdown
	}
	return sum
}
