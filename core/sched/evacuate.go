package sched

import (
	"time"

	"persimmonstage/core/evac"
)

// SetEvacuations makes the scheduler follow which data centres are evacuated; it is called before the first Join.
func (s *Sched) SetEvacuations(t *evac.Table) { s.evacuations = t }

// EvacuationsChanged places nothing more on the targets of evacuated data centres, and uses those again that are no longer. The load
// pattern is that of all callers on the targets that are left: what they can't take is refused as in any overload.
func (s *Sched) EvacuationsChanged(now time.Time) {
	for _, t := range s.targets {
		t.evacuated = s.evacuations.Holds(t.location())
	}
	s.isolateTargets(now)
	s.place(now)
}

// location returns a target's data centre.
func (t *target) location() string {
	if t.state.DataCentre != "" {
		return t.state.DataCentre
	}
	return t.dataCentre
}

// onlyEvacuated reports whether targets could run a job and all of them are in evacuated data centres. Its caller is told at once, as
// evacuations last longer than callers wait.
func (s *Sched) onlyEvacuated(j *job) bool {
	found := false
	for _, t := range s.targets {
		if !s.fits(j, t) {
			continue
		}
		if !t.evacuated {
			return false
		}
		found = true
	}
	return found
}
