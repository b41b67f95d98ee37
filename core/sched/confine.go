package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/crash"
)

// Crashed takes an agent's report of its target's crash. The load pattern is a route of which some jobs crash each target that
// starts them: such a task is given up after a few crashes, and its route is confined to a share of the targets, which the other
// routes don't use, as the first start of each further such job costs a target.
func (s *Sched) Crashed(now time.Time, target string, r *crash.Report) {
	if s.blame.Add(target, r) {
		s.isolateTargets(now)
	}
}

// isolateTargets gives each confined route the same share of its service's targets as if all active routes were confined. The
// targets that crashed first are isolated first. All entries know of these crashes, so they isolate the same targets.
func (s *Sched) isolateTargets(now time.Time) {
	s.blame.Expire(now)
	confined := s.blame.Confined()
	if len(confined) == 0 && len(s.confined) == 0 {
		return
	}
	before := s.confined
	s.confined = make(map[string]bool)
	for _, t := range s.targets {
		t.isolatedFor = ""
	}
	for _, route := range confined {
		if s.isActive(route) && s.isolate(route) {
			s.confined[route] = true
		}
	}
	s.logConfined(before)
}

// logConfined reports the routes whose confinement has changed, with their targets.
func (s *Sched) logConfined(before map[string]bool) {
	for route := range s.services {
		if s.confined[route] == before[route] {
			continue
		}
		var isolated []string
		for _, t := range s.targets {
			if t.isolatedFor == route {
				isolated = append(isolated, t.name)
			}
		}
		s.out.RouteConfined(route, s.confined[route], isolated)
	}
}

// isActive reports whether a route had jobs recently.
func (s *Sched) isActive(route string) bool { return s.shares.demand[route] != nil }

// unconfinedRoutes returns the number of a service's active routes that aren't confined, and of all its active routes.
func (s *Sched) unconfinedRoutes(service string) (unconfined, active int) {
	for route := range s.shares.demand {
		if s.services[route] != service {
			continue
		}
		active++
		if !s.confined[route] {
			unconfined++
		}
	}
	return unconfined, active
}

// isolate isolates a route's share of its service's targets and leaves at least one for each other route that isn't confined yet. It
// reports false, without any effect, if there are too few targets or no other routes.
func (s *Sched) isolate(route string) bool {
	service := s.services[route]
	free, all := s.sharedTargets(service)
	unconfined, active := s.unconfinedRoutes(service)
	if active < 2 || len(free) < unconfined {
		return false
	}
	slices.SortFunc(free, s.compareIsolation)
	share := int(math.Round(float64(all) / float64(active)))
	for _, t := range free[:max(1, min(share, len(free)-(unconfined-1)))] {
		t.isolatedFor = route
	}
	return true
}

// sharedTargets returns the targets of a service that aren't isolated, and the number of all its targets.
func (s *Sched) sharedTargets(service string) (free []*target, all int) {
	for _, t := range s.targets {
		if t.state.Service != service {
			continue
		}
		all++
		if t.isolatedFor == "" {
			free = append(free, t)
		}
	}
	return free, all
}

// compareIsolation orders targets by their first recent crash; those without one come last, in an order that is the same at all
// entries.
func (s *Sched) compareIsolation(a, b *target) int {
	atA, crashedA := s.blame.FirstCrash(a.name)
	atB, crashedB := s.blame.FirstCrash(b.name)
	return cmp.Or(
		compareBool(!crashedA, !crashedB), atA.Compare(atB), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)),
		cmp.Compare(a.name, b.name),
	)
}

// admits reports whether a target is open to a job's route: isolated ones are for one confined route, the others for the routes
// that aren't confined.
func (s *Sched) admits(j *job, to *target) bool {
	if name := j.batch.Route.Name; s.confined[name] {
		return to.isolatedFor == name
	}
	return to.isolatedFor == ""
}

// mayAttempt reports whether a task may be attempted. A suspect of a confined route most likely costs a further target, so it is
// attempted again only while more than half of the route's targets are up.
func (s *Sched) mayAttempt(j *job, i int) bool {
	route := j.batch.Route.Name
	if !s.confined[route] || s.blame.Crashes(j.batch.TaskName(i)) == 0 {
		return true
	}
	all, up := 0, 0
	for _, t := range s.targets {
		if t.isolatedFor != route {
			continue
		}
		all++
		if t.available() {
			up++
		}
	}
	return 2*up > all
}

// isBlocked reports whether a started job waits for an attempt that it can't get soon: its targets are down, or a task is suspect.
func (s *Sched) isBlocked(now time.Time, j *job) bool {
	if !s.confined[j.batch.Route.Name] || j.waiting == 0 {
		return false
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.done && t.attempt == nil && !s.mayAttempt(j, i) {
			return true
		}
	}
	return j.waiting == j.left && s.checkTargets(now, j) == targetsNone
}

// provenTask reports whether a job has a task that is known to crash targets.
func (s *Sched) provenTask(j *job) bool {
	if !s.blame.HasSuspects() {
		return false
	}
	for i := range j.tasks {
		if s.blame.Proven(j.batch.TaskName(i)) {
			return true
		}
	}
	return false
}
