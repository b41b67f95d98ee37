package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/batch"
)

// Decisions on a job.
const (
	WouldStart  = "start"
	WouldWait   = "wait"
	WouldRefuse = "refuse"
)

// Reasons why a target gets no task of a job now.
const (
	excludedAway     = "not-connected"
	excludedUnusable = "not-usable"
	excludedService  = "other-service"
	excludedSize     = "too-small"
	excludedLabel    = "label"
	excludedIsolated = "isolated"
	excludedNoRoom   = "no-room"
	excludedHeld     = "held"     // its room is offered to other entries first
	excludedReserved = "reserved" // for a job that waits
	excludedFailing  = "failing"
	excludedPerJob   = "max-per-target"
	excludedLate     = "late" // it would miss the objective or the deadline
	excludedOther    = "excluded"
)

// Placement tells where the tasks of a job would go now.
type Placement struct {
	Decision    string          `json:"decision"`
	Reason      string          `json:"reason,omitempty"`
	Route       string          `json:"route"`
	ExpectedMS  int64           `json:"expected-ms"` // run time of a task at a pace of 1
	ObjectiveMS int64           `json:"objective-ms"`
	DeadlineMS  int64           `json:"deadline-ms"`
	WaitMS      int64           `json:"wait-ms"`   // the longest time until the job is refused if no task has started
	Tasks       []string        `json:"tasks"`     // the agents that would get the tasks, in order; fewer than the job has if others wait
	Waiting     int             `json:"waiting"`   // tasks that would wait
	Preceding   int             `json:"preceding"` // jobs that wait and come first
	Load        float64         `json:"load"`
	Targets     []PlacementView `json:"targets"` // for the first task
}

// PlacementView tells how a target compares with the one that would get the first task.
type PlacementView struct {
	Agent      string  `json:"agent"`
	DataCentre string  `json:"data-centre"`
	Chosen     bool    `json:"chosen"`
	Excluded   string  `json:"excluded,omitempty"` // why it isn't a candidate
	Preferred  bool    `json:"preferred"`          // it ranks before the chosen one, but isn't in the sample that is compared
	Term       string  `json:"term,omitempty"`     // the criterion that decides between it and the chosen one
	Pace       float64 `json:"pace"`
	RunMS      int64   `json:"run-ms"`
	Free       float64 `json:"free"`
	Slowdown   float64 `json:"slowdown,omitempty"` // see candidate
	Failures   int     `json:"failures-in-a-row"`
}

// Where tells where the tasks of a job would go if it were submitted now. Nothing is changed, and the decisions are those of Submit. The
// sample of targets is a random one, as for each task, so of equally many candidates another may be taken in the end. A job of the same id
// is ignored.
func (s *Sched) Where(now time.Time, b *batch.Batch) *Placement {
	defer s.restore()()
	j := s.probe(now, b)
	out := &Placement{
		Route: b.Route.Name, ExpectedMS: j.expected.Milliseconds(), ObjectiveMS: j.objective.Sub(now).Milliseconds(),
		DeadlineMS: b.Deadline.Sub(now).Milliseconds(), WaitMS: j.startDeadline.Sub(now).Milliseconds(), Load: s.load,
	}
	s.decide(now, j, out)
	return out
}

// decide fills in the decision on a job as Submit and place make it.
func (s *Sched) decide(now time.Time, j *job, out *Placement) {
	if reason := s.refusalReason(now, j); reason != "" {
		out.Decision, out.Reason = WouldRefuse, reason
		out.Targets = s.compare(now, j, nil)
		return
	}
	var probes []*attempt
	s.findOpen(j.batch.Millicores)
	defer func() { s.withdraw(probes) }()
	s.reservedPace = 0
	for _, a := range s.risky {
		if faster := fasterPaceRatio * a.target.state.Pace; s.canEndElsewhere(now, a, faster) {
			s.reservePace(a.job, faster)
		}
	}
	preceding := slices.DeleteFunc(slices.Clone(s.queue), func(o *job) bool { return o.ended || compareUrgency(o, j) > 0 })
	slices.SortStableFunc(preceding, compareUrgency)
	out.Preceding = len(preceding)
	for _, o := range preceding {
		probes = append(probes, s.probeTasks(now, o, nil)...)
	}
	started := s.probeTasks(now, j, func(to *target) { out.Targets = s.compare(now, j, to) })
	probes = append(probes, started...)
	for _, a := range started {
		out.Tasks = append(out.Tasks, a.target.name)
	}
	out.Decision, out.Waiting = WouldStart, j.waiting-len(started)
	if len(started) == 0 {
		out.Decision, out.Reason = WouldWait, s.waitReason(now, j)
	}
}

// probeTasks books the waiting tasks of a job at targets as placeJob does, until withdraw; first is called with the choice for the first one.
func (s *Sched) probeTasks(now time.Time, j *job, first func(to *target)) []*attempt {
	var probes []*attempt
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.attempt != nil || s.openByTask[j.batch.TaskName(i)] != nil || !s.mayAttempt(j, i) {
			continue
		}
		var to *target
		if !s.isRecovering(now) && !now.Before(j.ready) {
			to = s.choose(now, j, t)
		}
		if first != nil && len(probes) == 0 {
			first(to)
		}
		if to == nil {
			break
		}
		s.lastAttempt++
		t.attempt = &attempt{id: s.lastAttempt, job: j, index: i, target: to, expected: j.expected}
		to.attempts[s.lastAttempt] = t.attempt
		to.sentMillicores += j.batch.Millicores
		to.sentMemoryMB += j.batch.MemoryMB
		probes = append(probes, t.attempt)
	}
	return probes
}

// withdraw undoes the bookings of probeTasks.
func (s *Sched) withdraw(probes []*attempt) {
	for _, a := range probes {
		a.job.tasks[a.index].attempt = nil
		delete(a.target.attempts, a.id)
		a.target.recountSent()
	}
}

// restore returns a function that undoes what a probe changes in the scheduler.
func (s *Sched) restore() func() {
	reserved, rng, last, load, yielded := s.reservedPace, s.rng, s.lastAttempt, s.load, s.yielded
	s.rng, s.load = rand.New(rand.NewPCG(last, 0)), s.utilisation()
	return func() {
		s.reservedPace, s.rng, s.lastAttempt, s.load, s.yielded = reserved, rng, last, load, yielded
	}
}

// probe returns a job like addJob, without adding it.
func (s *Sched) probe(now time.Time, b *batch.Batch) *job {
	mean, known := s.meanLogs[b.Route.Name]
	j := &job{batch: b, arrived: now, ready: now, left: b.Tasks, waiting: b.Tasks, tasks: make([]task, b.Tasks)}
	j.expected = s.estimateRunTime(b)
	if delete(s.meanLogs, b.Route.Name); known {
		s.meanLogs[b.Route.Name] = mean
	}
	objective := b.Route.Objective(j.expected)
	j.objective = now.Add(objective)
	j.overShare = s.shares.over[b.Route.Name]
	j.startDeadline = now.Add(time.Duration(startFraction(j.overShare) * float64(objective)))
	s.holdBack(now, j)
	j.waitUntil(b.ClaimedUntil)
	j.late = now.Add(time.Duration(s.fastestPace(b.Route.Service) * float64(j.expected))).After(j.objective)
	return j
}

// waitReason returns why no task of a job that isn't refused would start.
func (s *Sched) waitReason(now time.Time, j *job) string {
	switch {
	case s.isRecovering(now):
		return "entry-was-stalled"
	case now.Before(j.ready):
		return Claimed
	case s.checkTargets(now, j) == targetsNone:
		return NoTarget
	}
	return excludedNoRoom
}

// compare returns how the targets compare with the one that choose has just returned, nil if there was none.
func (s *Sched) compare(now time.Time, j *job, chosen *target) []PlacementView {
	var best *candidate
	var list []candidate
	order := economical
	for _, l := range []struct {
		list    []candidate
		ranking ranking
	}{{s.safe, economical}, {s.tight, urgent}, {s.rest, urgent}} {
		for i := range l.list {
			if chosen != nil && l.list[i].target == chosen {
				best, list, order = &l.list[i], l.list, l.ranking
			}
		}
	}
	partners := s.partners(j)
	views := make([]PlacementView, 0, len(s.targets))
	for _, to := range s.targets {
		v := PlacementView{
			Agent: to.name, DataCentre: to.dataCentre, Chosen: to == chosen, Pace: to.state.Pace, Free: to.freeFraction(),
			RunMS: time.Duration(to.state.Pace * float64(j.expected)).Milliseconds(), Failures: to.failures, Slowdown: to.slowdown(partners),
			Excluded: s.exclusion(now, j, to),
		}
		if v.Excluded == "" && to != chosen {
			v.Excluded = excludedLate
			for i := range list {
				if list[i].target == to {
					v.Excluded = ""
					v.Preferred, v.Term = order.prefers(&list[i], best)
				}
			}
		}
		views = append(views, v)
	}
	return views
}

// exclusion returns why a target can't start a task of a job now, empty if it can.
func (s *Sched) exclusion(now time.Time, j *job, to *target) string {
	b := j.batch
	cpu, mem := to.used()
	switch {
	case s.serves(j, to) && s.hasRoom(now, j, &task{}, to):
		return ""
	case !to.connected:
		return excludedAway
	case !to.state.Usable:
		return excludedUnusable
	case to.state.Service != b.Route.Service:
		return excludedService
	case b.Millicores > to.state.Millicores || b.MemoryMB > to.state.MemoryMB:
		return excludedSize
	case !s.fits(j, to):
		return excludedLabel
	case !s.admits(j, to):
		return excludedIsolated
	case !s.serves(j, to):
		return excludedOther
	case cpu+b.Millicores > to.state.Millicores || mem+b.MemoryMB > to.state.MemoryMB:
		return excludedNoRoom
	case to.state.Held:
		return excludedHeld
	case to.failures >= probeFailures:
		return excludedFailing
	case b.MaxPerTarget > 0 && j.tasksAt(to) >= b.MaxPerTarget:
		return excludedPerJob
	case to.state.Pace <= s.reservedPace:
		return excludedReserved
	}
	return excludedOther
}
