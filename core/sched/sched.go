package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/batch"
	"persimmonstage/core/blame"
	"persimmonstage/core/evac"
	"persimmonstage/core/jobend"
	"persimmonstage/core/pairs"
	"persimmonstage/core/span"
	"persimmonstage/core/times"
)

const (
	// outcomeRetention is how long a job's outcome is kept to answer repeated requests.
	outcomeRetention = 10 * time.Second
	// noTargetTimeout is how long jobs are still queued when there is no target; a restart takes about as long.
	noTargetTimeout = 2 * time.Second
	// reconnectTime is how long a job still waits once the first target is back after all were lost: the agents reconnect one
	// after the other within this time.
	reconnectTime = 60 * time.Millisecond
	// defaultRunTime is assumed for tasks without a declared run time on routes without a mean.
	defaultRunTime = 200 * time.Millisecond
	// minRunFraction is the least fraction of its expected run time that a task is assumed to take: estimates are off by about
	// 30 %, so 2 % of the tasks take less.
	minRunFraction = 0.55
	// meanWeight is the weight of a new declared run time in the route's moving average of the logarithms.
	meanWeight = 0.05
	// Refused callers are told to retry after retryBase plus a random part of retrySpread, so that they don't all retry at once.
	retryBase   = time.Second
	retrySpread = time.Second
)

// Reasons of an outcome.
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
	Crashing   = "crashes-targets" // a task of the job crashes the targets that start it
	Unclaimed  = "unclaimed"       // another entry may have been handed the job, as it could not be claimed in time
	Claimed    = "claimed"         // another entry may have runs of the job for too long
	Confined   = "confined"        // the route crashes targets, and those that it is confined to are down
	Evacuated  = "evacuated"       // the data centres of all targets that could run the job are evacuated
)

// Sched schedules an entry's repeatable jobs on the targets that are connected to the entry; create it with New.
type Sched struct {
	out          effects
	rng          *rand.Rand
	targets      []*target
	byName       map[string]*target
	jobs         map[string]*job
	live         []*job // the same jobs by arrival
	queue        []*job
	risky        []*attempt          // expected to miss the deadline on their target
	suspects     []*attempt          // far behind for a reason that isn't known yet
	openByTask   map[string]*attempt // by task name
	lastAttempt  uint64
	lastCaller   uint64
	endedJobs    map[string]endedJob
	meanLogs     map[string]float64 // mean logarithm of the declared run times, by route
	spans        span.Spans
	lastTick     time.Time
	stallBegin   time.Time // the last tick before the last stall
	stallEnd     time.Time // when the last stall was noticed
	hadTargetAt  time.Time // last tick with a target, or the first tick
	load         float64
	startRate    startRate
	overRate     startRate // of the jobs of routes above their share
	shares       shares
	fleet        fleet
	yielded      uint64 // jobs refused for the benefit of other entries
	blame        *blame.Blame
	confined     map[string]bool   // the routes that are confined to isolated targets
	services     map[string]string // by route
	evacuations  *evac.Table
	reservedPace float64     // targets up to this pace are reserved for a waiting job
	open         []*target   // those that may have room for a waiting task, for choose
	safe         []candidate // reused by choose
	tight        []candidate
	rest         []candidate
	pairs        *pairs.Pairs // nil unless routes are kept apart
	pairChanged  func(c pairs.Change)
	paces        []float64          // reused by medianPace
	fastest      map[string]float64 // reused by markLate: the least pace by service
}

// New returns a scheduler that carries out its decisions through out and takes its random numbers from rng.
func New(out effects, rng *rand.Rand) *Sched {
	return &Sched{
		out: out, rng: rng,
		byName:     make(map[string]*target),
		jobs:       make(map[string]*job),
		openByTask: make(map[string]*attempt),
		endedJobs:  make(map[string]endedJob),
		meanLogs:   make(map[string]float64),
		fastest:    make(map[string]float64),
		shares:     newShares(),
		blame:      blame.New(),
		confined:   make(map[string]bool),
		services:   make(map[string]string),
	}
}

// Submit adds a job and returns the caller's number for Leave; w is called once with the outcome unless the caller leaves before.
// A repeated submission waits for the same job, or gets the same outcome if the job is done, failed or withdrawn.
func (s *Sched) Submit(now time.Time, b *batch.Batch, w func(jobend.Outcome)) uint64 {
	s.lastCaller++
	if j := s.jobs[b.ID]; j != nil {
		j.waiters = append(j.waiters, waiter{s.lastCaller, w, b.Left})
		return s.lastCaller
	}
	number := 0
	if m, ok := s.endedJobs[b.ID]; ok {
		if m.isFinal() {
			w(m.outcome)
			return s.lastCaller
		}
		number = m.number
	}
	j := s.addJob(now, b, number)
	j.waiters = append(j.waiters, waiter{s.lastCaller, w, b.Left})
	if s.provenTask(j) {
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Failed, Reason: Crashing})
		return s.lastCaller
	}
	if s.claim(now, j); j.ended {
		return s.lastCaller
	}
	if reason := s.refusalReason(now, j); reason != "" {
		s.refuse(now, j, reason)
		return s.lastCaller
	}
	s.enqueue(j)
	s.place(now)
	return s.lastCaller
}

// Leave removes a caller of a job, and cancels the job if it was the last one.
func (s *Sched) Leave(now time.Time, id string, caller uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if s.dropWaiters(now, j, func(w waiter) bool { return w.caller == caller }); j.ended {
		s.place(now)
	}
}

// dropWaiters removes the callers of a job that have left, and ends the job if none remains.
func (s *Sched) dropWaiters(now time.Time, j *job, hasLeft func(w waiter) bool) {
	j.waiters = slices.DeleteFunc(j.waiters, hasLeft)
	if len(j.waiters) == 0 {
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Cancelled, Reason: CallerLeft})
	}
}

func (s *Sched) addJob(now time.Time, b *batch.Batch, number int) *job {
	j := &job{batch: b, arrived: now, ready: now, left: b.Tasks, waiting: b.Tasks, tasks: make([]task, b.Tasks)}
	for i := range j.tasks {
		j.tasks[i].number = number
	}
	j.expected = s.estimateRunTime(b)
	j.estimate = j.expected
	objective := b.Route.Objective(j.expected)
	j.objective = now.Add(objective)
	wasActive := s.isActive(b.Route.Name)
	s.services[b.Route.Name] = b.Route.Service
	s.shares.arrived(now, b.Route.Name, float64(b.Tasks)*j.taskWork())
	s.shares.update(now, &s.fleet)
	if !wasActive {
		s.isolateTargets(now)
	}
	j.overShare = s.shares.over[b.Route.Name]
	j.startDeadline = now.Add(time.Duration(startFraction(j.overShare) * float64(objective)))
	s.holdBack(now, j)
	j.waitUntil(b.ClaimedUntil)
	s.jobs[b.ID] = j
	s.live = append(s.live, j)
	s.out.JobAccepted(&JobArrival{
		ID: b.ID, Route: b.Route.Name, Tasks: b.Tasks, Millicores: b.Millicores, Expected: j.expected, Objective: objective,
		Deadline: b.Deadline.Sub(now), Claimed: max(0, b.ClaimedUntil.Sub(now)),
	})
	return j
}

// estimateRunTime returns the geometric mean of the declared run time and the route's mean of declared run times: the error of a
// declared run time is about as large as the differences between the jobs of a route.
func (s *Sched) estimateRunTime(b *batch.Batch) time.Duration {
	mean, known := s.meanLogs[b.Route.Name]
	if b.Declared <= 0 {
		if run, learned := s.spans.Run(b.Route.Name, median); learned {
			return run
		}
		if !known {
			return defaultRunTime
		}
		return time.Duration(math.Exp(mean))
	}
	declared := math.Log(float64(b.Declared))
	if !known {
		mean = declared
	}
	s.meanLogs[b.Route.Name] = mean + meanWeight*(declared-mean)
	return time.Duration(math.Exp((mean + declared) / 2))
}

// median is the quantile of the run times that is expected of a job that declares nothing.
const median = 0.5

// refusalReason returns the reason for refusing a new job, empty if it can be queued.
func (s *Sched) refusalReason(now time.Time, j *job) string {
	if j.isClaimedTooLong() {
		return Claimed
	}
	known := false
	for _, t := range s.targets {
		if t.state.Service != j.batch.Route.Service {
			continue
		}
		known = true
		if s.fits(j, t) {
			return s.refusalReasonNow(now, j)
		}
	}
	switch {
	case known:
		return TooLarge
	case now.Sub(s.hadTargetAt) > noTargetTimeout:
		return NoTarget
	}
	return ""
}

// refusalReasonNow is refusalReason for a job whose tasks fit at least one target.
func (s *Sched) refusalReasonNow(now time.Time, j *job) string {
	switch s.checkTargets(now, j) {
	case targetsNone:
		if s.onlyEvacuated(j) {
			return Evacuated
		}
		if s.confined[j.batch.Route.Name] {
			return Confined
		}
		return ""
	case targetsLate:
		return TooLong
	}
	if s.wouldWaitTooLong(now, j) {
		return Overload
	}
	return ""
}

// Results of checkTargets; targets without free capacity are included.
const (
	targetsNone = iota // no target currently accepts tasks of the job
	targetsLate        // none would end a task before the deadline
	targetsInTime
)

// checkTargets reports whether a target could end a task of an unstarted job before its deadline.
func (s *Sched) checkTargets(now time.Time, j *job) int {
	best := targetsNone
	for _, t := range s.targets {
		if !s.serves(j, t) {
			continue
		}
		if run := time.Duration(t.state.Pace * float64(j.expected)); !now.Add(run).After(j.batch.Deadline) {
			return targetsInTime
		}
		best = targetsLate
	}
	return best
}

func (s *Sched) retryAfter() time.Duration {
	return retryBase + time.Duration(s.rng.Int64N(int64(retrySpread)))
}

// Cancel ends a job with the given reason and reports whether the job was found.
func (s *Sched) Cancel(now time.Time, id, reason string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.endJob(now, j, jobend.Outcome{Kind: jobend.Cancelled, Reason: reason})
	s.place(now)
	return true
}

// Withdraw cancels a job at its caller's request, here or at another entry, and reports whether it was found. A request that hands the job
// in later, or once more, finds it cancelled.
func (s *Sched) Withdraw(now time.Time, id string) bool {
	if s.Cancel(now, id, Withdrawn) {
		return true
	}
	m, known := s.endedJobs[id]
	if known && m.isFinal() {
		return false
	}
	outcome := jobend.Outcome{Kind: jobend.Cancelled, Reason: Withdrawn}
	s.endedJobs[id] = endedJob{outcome: outcome, number: m.number, expires: now.Add(outcomeRetention)}
	return false
}

// Running reports whether a job exists and hasn't ended.
func (s *Sched) Running(id string) bool { return s.jobs[id] != nil }

// Knows reports whether tasks of a job may have been started here: it hasn't ended, its outcome is kept and isn't a refusal before any
// start, or one of its attempts is still open.
func (s *Sched) Knows(b *batch.Batch) bool {
	m, ended := s.endedJobs[b.ID]
	if s.Running(b.ID) || ended && (m.outcome.Kind != jobend.Refused || m.number > 0) {
		return true
	}
	for i := range b.Tasks {
		if s.openByTask[b.TaskName(i)] != nil {
			return true
		}
	}
	return false
}

// RecordRefused counts a job that was refused without Submit as work that callers have asked for.
func (s *Sched) RecordRefused(now time.Time, b *batch.Batch) {
	j := &job{batch: b, expected: s.estimateRunTime(b)}
	s.shares.arrived(now, b.Route.Name, float64(b.Tasks)*j.taskWork())
}

// Waiting returns the number of jobs of a route of which no task was started yet.
func (s *Sched) Waiting(route string) int {
	n := 0
	for _, j := range s.queue {
		if !j.started && !j.ended && j.batch.Route.Name == route {
			n++
		}
	}
	return n
}

// endJob gives all callers of a job its outcome and stops its open attempts.
func (s *Sched) endJob(now time.Time, j *job, f jobend.Outcome) {
	j.ended = true
	delete(s.jobs, j.batch.ID)
	s.learnSpan(now, j, f)
	s.learnPairs(j)
	s.out.JobEnded(s.summarize(now, j, f))
	number := 0
	for i := range j.tasks {
		t := &j.tasks[i]
		number = max(number, t.number)
		if t.attempt != nil {
			s.stop(t.attempt)
		}
	}
	s.endedJobs[j.batch.ID] = endedJob{outcome: f, number: number, expires: now.Add(outcomeRetention)}
	for _, w := range j.waiters {
		w.end(f)
	}
	j.waiters = nil
}

// summarize returns the summary of a job; it is called before the job's open attempts are stopped.
func (s *Sched) summarize(now time.Time, j *job, f jobend.Outcome) *JobSummary {
	st := &JobSummary{
		ID: j.batch.ID, Route: j.batch.Route.Name, Outcome: f, Tasks: j.batch.Tasks, Done: j.batch.Tasks - j.left, Starts: j.starts,
		Expected: j.expected, Objective: j.objective.Sub(j.arrived), Waited: j.waited, Took: now.Sub(j.arrived), Load: s.load, Targets: s.connected(),
		Forecasts: j.forecasts, Early: j.early,
	}
	if !j.started {
		st.Waited = st.Took
	}
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil && f.Kind != jobend.Done {
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

// Tick handles timeouts: of jobs past their start deadline or deadline, of attempts on lost targets, and of kept outcomes.
func (s *Sched) Tick(now time.Time) {
	s.noticeStall(now)
	s.lastTick = now
	if s.hadTargetAt.IsZero() || len(s.targets) > 0 {
		s.hadTargetAt = now
	}
	s.fleet.update(now)
	s.expireTargets(now)
	s.decayPairs(now)
	s.isolateTargets(now)
	for _, j := range s.live {
		s.claim(now, j)
		s.expireJob(now, j)
	}
	s.live = slices.DeleteFunc(s.live, func(j *job) bool { return j.ended })
	s.place(now)
	for id, m := range s.endedJobs {
		if now.After(m.expires) {
			delete(s.endedJobs, id)
		}
	}
}

func (s *Sched) expireJob(now time.Time, j *job) {
	switch {
	case j.ended:
	case !now.Before(j.batch.Deadline) && j.started:
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: Deadline})
	case !j.started:
		s.expireUnstarted(now, j)
	case len(s.targets) == 0 && j.waiting == j.left:
		// Nothing of the job runs any more, and its caller can send it to another entry.
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: NoTarget})
	case j.waiting > 0 && s.onlyEvacuated(j):
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: Evacuated})
	case s.isBlocked(now, j):
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: Confined})
	case j.waiting > 0 && s.outOfTime(now, j):
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: NoTimeLeft})
	}
}

// expireUnstarted refuses a job that is past its start deadline, or that no target can end in time any more. While no target
// accepts tasks, for example after this process has stalled, a job waits as long as it could still meet its objective.
func (s *Sched) expireUnstarted(now time.Time, j *job) {
	targets := s.checkTargets(now, j)
	switch {
	case targets == targetsNone && s.onlyEvacuated(j):
		s.refuse(now, j, Evacuated)
	case targets == targetsNone && s.confined[j.batch.Route.Name]:
		s.refuse(now, j, Confined)
	case targets == targetsNone && now.Add(j.expected).Before(j.objective):
		j.startDeadline = times.Later(j.startDeadline, now.Add(reconnectTime))
	case targets == targetsNone && now.After(j.startDeadline):
		s.refuse(now, j, NoTarget)
	case targets == targetsLate:
		s.refuse(now, j, TooLong)
	case now.After(j.startDeadline), !now.Before(j.batch.Deadline):
		s.refuse(now, j, Overload)
	}
}

func (s *Sched) refuse(now time.Time, j *job, reason string) {
	s.endJob(now, j, jobend.Outcome{Kind: jobend.Refused, Reason: reason, RetryAfter: s.retryAfter()})
}

// outOfTime reports whether a waiting task of a started job can't end before the deadline on any target, full or not. Such a job
// is ended early, so that its caller doesn't wait in vain and its other tasks free their capacity.
func (s *Sched) outOfTime(now time.Time, j *job) bool {
	least := minRunFraction * float64(j.expected)
	known := false
	for _, t := range s.targets {
		if !t.connected || t.evacuated || !s.fits(j, t) {
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
