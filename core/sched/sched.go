package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/fate"
	"persimmonstage/core/when"
)

const (
	// remember is how long the end of a job is known for requests that come again.
	remember = 10 * time.Second
	// stallGap is the time without a tick after which the process counts as having stood still.
	stallGap = 250 * time.Millisecond
	// stallPause is how long a job that arrives after a stall waits for the word that its caller has left meanwhile.
	stallPause = 25 * time.Millisecond
	// targetless is how long without any target jobs still wait for one: it is about the time of a restart.
	targetless = 2 * time.Second
	// rejoinTime is how long after the loss of all its targets has ended a job waits for the rest of them: agents connect again
	// within it, one after the other.
	rejoinTime = 60 * time.Millisecond
	// defaultWork is the run time of a task of which nothing is declared or known.
	defaultWork = 200 * time.Millisecond
	// unlikelyPart is the part of its expected run time in which hardly a task ends: run times are known to some 30 %, so two in
	// a hundred take less.
	unlikelyPart = 0.55
	// meanWeight is the weight of one declared run time in a route's mean of their logarithms.
	meanWeight = 0.05
	// retryBase is the least and retrySpread the additional time after which refused callers come back, spread so that they
	// don't come together.
	retryBase   = time.Second
	retrySpread = time.Second
)

// Reasons of a fate.
const (
	NoTarget   = "no-target"
	Overload   = "overload"
	TooLarge   = "too-large"
	Deadline   = "deadline"
	TooLong    = "too-long"
	NoTimeLeft = "no-time-left"
	Exhausted  = "attempts-exhausted"
	Withdrawn  = "withdrawn"
	CallerLeft = "caller-left"
)

// Sched holds an entry's repeatable jobs and the targets that it may use; New makes it.
type Sched struct {
	out       effects
	rng       *rand.Rand
	targets   []*target
	byName    map[string]*target
	jobs      map[string]*job
	live      []*job // the same in the order of their arrival
	queue     []*job
	risky     []*attempt          // that will miss their deadline where they are
	stuck     []*attempt          // at targets that seem to be slow, to be moved once there is room
	open      map[string]*attempt // by the task's name
	next      uint64
	callers   uint64 // number of the last caller
	past      map[string]memory
	means     map[string]float64 // logarithm of the declared run time, by route
	ticked    time.Time
	hadTarget time.Time // when there last was a target, or of the first tick
	load      float64
	flow      flow
	kept      float64     // pace up to which targets are kept for a job that waits
	safe      []candidate // scratch of choose
	fair      []candidate
	rest      []candidate
	paces     []float64          // scratch of medianPace
	fastest   map[string]float64 // scratch of markLate: the least pace by service
}

// New returns a scheduler that acts through out; rng makes its random choices repeatable.
func New(out effects, rng *rand.Rand) *Sched {
	return &Sched{
		out: out, rng: rng,
		byName:  make(map[string]*target),
		jobs:    make(map[string]*job),
		open:    make(map[string]*attempt),
		past:    make(map[string]memory),
		means:   make(map[string]float64),
		fastest: make(map[string]float64),
	}
}

// Submit takes a job, calls w once with its end unless that caller leaves before, and returns the caller's number for Leave. A
// job that is known joins its first submission; one that has ended gets the same end again, unless it was refused or given up.
func (s *Sched) Submit(now time.Time, b *batch.Batch, w func(fate.Outcome)) uint64 {
	s.callers++
	if j := s.jobs[b.ID]; j != nil {
		j.waiters = append(j.waiters, waiter{s.callers, w})
		return s.callers
	}
	number := 0
	if m, ok := s.past[b.ID]; ok {
		if m.fate.Kind == fate.Done || m.fate.Kind == fate.Failed {
			w(m.fate)
			return s.callers
		}
		number = m.number
	}
	j := s.enter(now, b, number)
	j.waiters = append(j.waiters, waiter{s.callers, w})
	if reason := s.hopeless(now, j); reason != "" {
		s.refuse(now, j, reason)
		return s.callers
	}
	s.enqueue(j)
	s.place(now)
	return s.callers
}

// Leave notes that a caller of a job has left; the job ends with its last caller.
func (s *Sched) Leave(now time.Time, id string, caller uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool { return w.caller == caller })
	if len(j.waiters) == 0 {
		s.Cancel(now, id, CallerLeft)
	}
}

func (s *Sched) enter(now time.Time, b *batch.Batch, number int) *job {
	j := &job{batch: b, arrived: now, ready: now, left: b.Tasks, waiting: b.Tasks, tasks: make([]task, b.Tasks)}
	for i := range j.tasks {
		j.tasks[i].number = number
	}
	j.expected = s.expect(b)
	objective := b.Route.Objective(j.expected)
	j.objective = now.Add(objective)
	j.patience = now.Add(time.Duration(patiencePart * float64(objective)))
	if now.Sub(s.ticked) > stallGap {
		j.ready = now.Add(stallPause)
	}
	s.jobs[b.ID] = j
	s.live = append(s.live, j)
	s.out.JobAccepted(b.ID, b.Route.Name, b.Tasks, j.expected, objective, b.Deadline.Sub(now))
	return j
}

// expect returns the run time of a job's tasks: halfway, in logarithms, between what was declared and the mean of what is
// declared for the route, as declared run times are about as far off as jobs of a route differ.
func (s *Sched) expect(b *batch.Batch) time.Duration {
	mean, known := s.means[b.Route.Name]
	if b.Declared <= 0 {
		if !known {
			return defaultWork
		}
		return time.Duration(math.Exp(mean))
	}
	declared := math.Log(float64(b.Declared))
	if !known {
		mean = declared
	}
	s.means[b.Route.Name] = mean + meanWeight*(declared-mean)
	return time.Duration(math.Exp((mean + declared) / 2))
}

// hopeless returns why no target will run the job's tasks, if that is known.
func (s *Sched) hopeless(now time.Time, j *job) string {
	known := false
	for _, t := range s.targets {
		if t.state.Service != j.batch.Route.Service {
			continue
		}
		known = true
		if s.fits(j, t) {
			return s.hopelessNow(now, j)
		}
	}
	switch {
	case known:
		return TooLarge
	case now.Sub(s.hadTarget) > targetless:
		return NoTarget
	}
	return ""
}

// hopelessNow returns why no target will run the tasks of a job that some targets may run, if that is known.
func (s *Sched) hopelessNow(now time.Time, j *job) string {
	switch s.reach(now, j) {
	case reachNone:
		return ""
	case reachLate:
		return TooLong
	}
	if s.overrun(now, j) {
		return Overload
	}
	return ""
}

// What the targets that take a job's tasks at present, full or not, can do for it.
const (
	reachNone = iota // there is none
	reachLate        // none of them ends a task before the deadline
	reachSome
)

// reach tells what the targets can do for a job that hasn't begun.
func (s *Sched) reach(now time.Time, j *job) int {
	best := reachNone
	for _, t := range s.targets {
		if !s.serves(j, t) {
			continue
		}
		if run := time.Duration(t.state.Pace * float64(j.expected)); !now.Add(run).After(j.batch.Deadline) {
			return reachSome
		}
		best = reachLate
	}
	return best
}

func (s *Sched) retryAfter() time.Duration {
	return retryBase + time.Duration(s.rng.Int64N(int64(retrySpread)))
}

// Cancel ends a job for a reason and reports whether it was there.
func (s *Sched) Cancel(now time.Time, id, reason string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.end(now, j, fate.Outcome{Kind: fate.Cancelled, Reason: reason})
	s.place(now)
	return true
}

// Running reports whether a job is known that hasn't ended.
func (s *Sched) Running(id string) bool { return s.jobs[id] != nil }

// Waiting returns how many jobs of a route have no task at a target yet.
func (s *Sched) Waiting(route string) int {
	n := 0
	for _, j := range s.queue {
		if !j.begun && !j.ended && j.batch.Route.Name == route {
			n++
		}
	}
	return n
}

// end answers a job and stops what is left of it.
func (s *Sched) end(now time.Time, j *job, f fate.Outcome) {
	j.ended = true
	delete(s.jobs, j.batch.ID)
	s.out.JobEnded(s.story(now, j, f))
	number := 0
	for i := range j.tasks {
		t := &j.tasks[i]
		number = max(number, t.number)
		if t.attempt != nil {
			s.stop(t.attempt)
		}
	}
	s.past[j.batch.ID] = memory{fate: f, number: number, expires: now.Add(remember)}
	for _, w := range j.waiters {
		w.end(f)
	}
	j.waiters = nil
}

// story gathers what led to the end of a job, before what is left of it is stopped.
func (s *Sched) story(now time.Time, j *job, f fate.Outcome) *JobSummary {
	st := &JobSummary{
		ID: j.batch.ID, Route: j.batch.Route.Name, Fate: f, Tasks: j.batch.Tasks, Done: j.batch.Tasks - j.left, Starts: j.starts,
		Expected: j.expected, Objective: j.objective.Sub(j.arrived), Waited: j.waited, Took: now.Sub(j.arrived), Load: s.load, Targets: s.connected(),
	}
	if !j.begun {
		st.Waited = st.Took
	}
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil && f.Kind != fate.Done {
			st.Open = append(st.Open, fmt.Sprintf("%s@%.2f", a.target.name, a.target.state.Pace))
		}
	}
	return st
}

func (s *Sched) stop(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	if a.target.connected {
		s.out.Stop(a.target.name, a.id)
	}
}

// Tick ends what is due: jobs past their patience or deadline, attempts at lost targets, memories.
func (s *Sched) Tick(now time.Time) {
	s.ticked = now
	if s.hadTarget.IsZero() || len(s.targets) > 0 {
		s.hadTarget = now
	}
	s.expireTargets(now)
	for _, j := range s.live {
		s.due(now, j)
	}
	s.live = slices.DeleteFunc(s.live, func(j *job) bool { return j.ended })
	s.place(now)
	for id, m := range s.past {
		if now.After(m.expires) {
			delete(s.past, id)
		}
	}
}

func (s *Sched) due(now time.Time, j *job) {
	switch {
	case j.ended:
	case !now.Before(j.batch.Deadline) && j.begun:
		s.end(now, j, fate.Outcome{Kind: fate.Unfinished, Reason: Deadline})
	case !j.begun:
		s.dueFirst(now, j)
	case j.waiting > 0 && s.outOfTime(now, j):
		s.end(now, j, fate.Outcome{Kind: fate.Unfinished, Reason: NoTimeLeft})
	}
}

// dueFirst refuses a job that has waited too long for its first start, or that no target can end in time any more. While no target
// takes work, as after a stall of this process, a job waits as long as it could still meet its objective.
func (s *Sched) dueFirst(now time.Time, j *job) {
	reach := s.reach(now, j)
	switch {
	case reach == reachNone && now.Add(j.expected).Before(j.objective):
		j.patience = when.Later(j.patience, now.Add(rejoinTime))
	case reach == reachNone && now.After(j.patience):
		s.refuse(now, j, NoTarget)
	case reach == reachLate:
		s.refuse(now, j, TooLong)
	case now.After(j.patience), !now.Before(j.batch.Deadline):
		s.refuse(now, j, Overload)
	}
}

func (s *Sched) refuse(now time.Time, j *job, reason string) {
	s.end(now, j, fate.Outcome{Kind: fate.Refused, Reason: reason, RetryAfter: s.retryAfter()})
}

// outOfTime reports whether a task of the job that has no attempt can't end before the deadline at any target, full or not, so
// that its caller learns it now and what its other tasks take becomes free.
func (s *Sched) outOfTime(now time.Time, j *job) bool {
	least := unlikelyPart * float64(j.expected)
	known := false
	for _, t := range s.targets {
		if !t.connected || !s.fits(j, t) {
			continue
		}
		known = true
		if !now.Add(time.Duration(least * t.state.Pace)).After(j.batch.Deadline) {
			return false
		}
	}
	return known
}

// connected returns the number of connected targets.
func (s *Sched) connected() int {
	n := 0
	for _, t := range s.targets {
		if t.connected {
			n++
		}
	}
	return n
}
