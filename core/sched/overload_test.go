package sched

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
)

// The load patterns below are simulated against the scheduler alone, in steps of a millisecond: three kinds of work, targets with
// about 1.4 times the capacity that the usual load needs, a quarter of them twice as fast as the others, and a fault or an
// overload in the middle.

// overloadKind is a kind of job in the load pattern.
type overloadKind struct {
	route          route.Route
	rate           float64 // jobs a second
	tasks          float64 // mean
	work           time.Duration
	overloadFactor float64 // factor on the rate during the overload
}

// overloadJob is a submitted job with its actual run times, which the scheduler doesn't get.
type overloadJob struct {
	kind      int
	size      float64
	work      []time.Duration // run time of each task at a pace of 1
	arrived   time.Time
	objective time.Duration
	served    bool // in time
	outcome   jobend.Outcome
}

// overloadRun is a running attempt on a simulated target.
type overloadRun struct {
	start     *Start
	target    *overloadTarget
	job       *overloadJob
	index     int
	done      time.Duration // work done, at a pace of 1
	startTime time.Time
	reported  bool
}

type overloadTarget struct {
	name         string
	pace         float64
	slow         func(t time.Duration) float64 // factor on the run time at a time of the simulation
	runs         []*overloadRun
	paceEstimate paceEstimate
}

// paceEstimate is the moving average of the ratio of actual to expected run times, as measured by agents.
type paceEstimate struct{ log float64 }

// overloadSim simulates targets and callers under a load pattern.
type overloadSim struct {
	sched        *Sched
	rng          *rand.Rand
	now          time.Time
	startTime    time.Time
	kinds        []overloadKind
	targets      []*overloadTarget
	jobs         map[string]*overloadJob
	served       []float64 // number of jobs served in time, by kind
	submitted    []float64
	ends         [][]jobEnd
	pendingStops []pendingStop
	onSubmit     func(id string, j *overloadJob) // called before a job is submitted, unless nil
	onStart      func(r *overloadRun)            // called when an attempt starts, unless nil
	onEnd        func(st *JobSummary)            // called when a job ends, unless nil
	longShare    float64                         // of the jobs, which have longFactor times the work
}

// pendingStop is a stopped attempt whose end wasn't reported yet.
type pendingStop struct {
	target string
	id     uint64
}

type jobEnd struct {
	size   float64
	served bool
}

func (sim *overloadSim) Start(target string, s *Start) {
	var id string
	var index int
	_, err := fmt.Sscanf(s.Task, "%16s.0.0.%d", &id, &index)
	if err != nil {
		panic(err)
	}
	for _, t := range sim.targets {
		if t.name == target {
			r := &overloadRun{start: s, target: t, job: sim.jobs[id], index: index, startTime: sim.now}
			t.runs = append(t.runs, r)
			if sim.onStart != nil {
				sim.onStart(r)
			}
		}
	}
}

func (sim *overloadSim) Stop(target string, id uint64) {
	for _, t := range sim.targets {
		if t.name == target {
			t.runs = slices.DeleteFunc(t.runs, func(r *overloadRun) bool { return r.start.Attempt == id })
		}
	}
	sim.pendingStops = append(sim.pendingStops, pendingStop{target, id})
}

func (sim *overloadSim) JobClaimed(string, time.Time) {}

func (sim *overloadSim) JobStarted(time.Duration) {}

func (sim *overloadSim) JobAccepted(*JobArrival) {}

func (sim *overloadSim) AttemptEnded(string, int, string, string, time.Duration) {}

func (sim *overloadSim) AttemptOutlasted(string, int, string, string, time.Duration) {}

func (sim *overloadSim) TaskMoved(_, _ string, _ int64) {}

func (sim *overloadSim) RouteConfined(string, bool, []string) {}

func (sim *overloadSim) JobEnded(st *JobSummary) {
	if sim.onEnd != nil {
		sim.onEnd(st)
	}
}

const (
	overloadSpan  = 20 * time.Second
	overloadFrom  = 5 * time.Second
	overloadUntil = 11 * time.Second
	simStep       = time.Millisecond
	longFactor    = 7
)

func usualKinds() []overloadKind {
	return []overloadKind{
		{route: route.Route{Name: "check", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 34, tasks: 8, work: 60 * time.Millisecond, overloadFactor: 1},
		{route: route.Route{Name: "sheet", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 6, tasks: 4, work: 900 * time.Millisecond, overloadFactor: 1},
		{route: route.Route{Name: "label", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 100, tasks: 2, work: 200 * time.Millisecond, overloadFactor: 1},
	}
}

func newOverloadSim(seed uint64, kinds []overloadKind, slow func(i int, t time.Duration) float64) *overloadSim {
	sim := &overloadSim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), startTime: time.Unix(1000, 0), kinds: kinds,
		jobs: map[string]*overloadJob{}, served: make([]float64, len(kinds)), submitted: make([]float64, len(kinds)),
		ends: make([][]jobEnd, len(kinds)),
	}
	sim.sched = New(sim, rand.New(rand.NewPCG(seed, 2)))
	for i := range 11 {
		t := &overloadTarget{name: fmt.Sprint("t", i), pace: 1.2, slow: func(at time.Duration) float64 { return slow(i, at) }}
		if i%4 == 0 {
			t.pace = 0.55
		}
		sim.targets = append(sim.targets, t)
		sim.sched.Join(sim.now, t.name, "1", "z", sim.state(t))
	}
	return sim
}

func (sim *overloadSim) state(t *overloadTarget) TargetState {
	s := TargetState{Service: "s", Millicores: 72_000, MemoryMB: 100_000, Usable: true, Pace: math.Exp(t.paceEstimate.log), Seen: sim.sched.lastAttempt}
	for _, r := range t.runs {
		s.UsedMillicores += r.start.Millicores
	}
	return s
}

// logNormal returns a log-normal random factor of mean 1; deviation is the standard deviation of its logarithm.
func (sim *overloadSim) logNormal(deviation float64) float64 {
	return math.Exp(deviation*sim.rng.NormFloat64() - deviation*deviation/2)
}

func (sim *overloadSim) submitArrivals(at time.Duration) {
	for k := range sim.kinds {
		rate := sim.kinds[k].rate
		if at >= overloadFrom && at < overloadUntil {
			rate *= sim.kinds[k].overloadFactor
		}
		if sim.rng.Float64() < rate*simStep.Seconds() {
			sim.submit(k)
		}
	}
}

func (sim *overloadSim) submit(k int) {
	kind := &sim.kinds[k]
	id := fmt.Sprintf("%016x", len(sim.jobs))
	tasks := max(1, int(kind.tasks*sim.logNormal(0.4)+0.5))
	work := time.Duration(float64(kind.work) * sim.logNormal(0.4))
	if sim.longShare > 0 && sim.rng.Float64() < sim.longShare {
		work *= longFactor
	}
	j := &overloadJob{kind: k, arrived: sim.now}
	longest := time.Duration(0)
	for range tasks {
		w := time.Duration(float64(work) * sim.logNormal(0.15))
		j.work = append(j.work, w)
		longest = max(longest, w)
		j.size += w.Seconds()
	}
	j.objective = kind.route.Objective(longest)
	sim.jobs[id] = j
	sim.submitted[k]++
	if sim.onSubmit != nil {
		sim.onSubmit(id, j)
	}
	b := &batch.Batch{
		ID: id, Route: &kind.route, Tasks: tasks, Millicores: uint64(6_200 * sim.logNormal(0.2)), MemoryMB: 64,
		Declared: time.Duration(float64(work) * sim.logNormal(0.4)), Deadline: sim.now.Add(1490 * time.Millisecond),
	}
	sim.sched.Submit(sim.now, b, func(end jobend.Outcome) {
		ok := end.Kind == jobend.Done && sim.now.Sub(j.arrived) <= j.objective
		j.served = ok
		j.outcome = end
		if ok {
			sim.served[k]++
		}
		sim.ends[k] = append(sim.ends[k], jobEnd{j.size, ok})
	})
}

func (sim *overloadSim) runTasks(at time.Duration) {
	for _, t := range sim.targets {
		pace := t.pace * t.slow(at)
		changed := false
		for _, r := range slices.Clone(t.runs) {
			r.done += time.Duration(float64(simStep) / pace)
			if r.done >= r.job.work[r.index] {
				t.runs = slices.DeleteFunc(t.runs, func(o *overloadRun) bool { return o == r })
				took := pace * float64(r.job.work[r.index])
				t.paceEstimate.log += 0.1 * (math.Log(took/float64(r.start.ExpectedMS)/float64(time.Millisecond)) - t.paceEstimate.log)
				sim.sched.UpdateTarget(sim.now, t.name, sim.state(t))
				sim.sched.Ended(sim.now, t.name, r.start.Attempt, EndDone)
				changed = true
				continue
			}
			sim.reportForecast(t, r, pace)
		}
		if changed {
			sim.sched.UpdateTarget(sim.now, t.name, sim.state(t))
		}
	}
	for _, s := range sim.pendingStops {
		sim.sched.Ended(sim.now, s.target, s.id, EndStopped)
	}
	sim.pendingStops = sim.pendingStops[:0]
}

// reportForecast reports a run that takes unusually long, once, as agents do.
func (sim *overloadSim) reportForecast(t *overloadTarget, r *overloadRun, pace float64) {
	whole := time.Duration(pace * float64(r.job.work[r.index]))
	usual := time.Duration(math.Exp(t.paceEstimate.log)*float64(r.start.ExpectedMS)) * time.Millisecond
	ran := sim.now.Sub(r.startTime)
	early := ran < 50*time.Millisecond || ran < whole/16 && ran < usual
	if r.reported || float64(whole) < 1.3*float64(usual) || early {
		return
	}
	r.reported = true
	whole = min(whole, 100*ran)
	if float64(whole) > 2.2*float64(usual) {
		t.paceEstimate.log += 0.1 * (math.Log(float64(whole)/float64(r.start.ExpectedMS)/float64(time.Millisecond)) - t.paceEstimate.log)
	}
	sim.sched.Forecast(sim.now, t.name, r.start.Attempt, whole-ran)
}

func (sim *overloadSim) run() {
	for at := time.Duration(0); at < overloadSpan; at += simStep {
		sim.now = sim.startTime.Add(at)
		sim.submitArrivals(at)
		sim.runTasks(at)
		if at%(20*time.Millisecond) == 0 {
			sim.sched.Tick(sim.now)
		}
	}
}

// servedFraction returns the fraction of a kind's jobs that were served in time.
func (sim *overloadSim) servedFraction(k int) float64 { return sim.served[k] / sim.submitted[k] }

// largestServed returns the fraction served in time of the largest tenth of a kind's jobs.
func (sim *overloadSim) largestServed(k int) float64 {
	list := sim.ends[k]
	slices.SortFunc(list, func(a, b jobEnd) int { return cmp.Compare(b.size, a.size) })
	list = list[:max(1, len(list)/10)]
	n := 0.0
	for _, e := range list {
		if e.served {
			n++
		}
	}
	return n / float64(len(list))
}

func nominalSpeed(int, time.Duration) float64 { return 1 }

// minServedFraction is the least fraction of each kind's jobs that has to be served in time under overload or faults.
const minServedFraction = 0.45

func TestOverload(t *testing.T) {
	overloaded := func(k int, x float64) []overloadKind {
		kinds := usualKinds()
		kinds[k].overloadFactor = x
		return kinds
	}
	bothKinds := overloaded(1, 2.5)
	bothKinds[0].overloadFactor = 1.6
	slowTargets := func(i int, at time.Duration) float64 {
		if i < 2 && at > 4*time.Second && at < 12*time.Second {
			return 7
		}
		return 1
	}
	hungTarget := func(i int, at time.Duration) float64 {
		if i == 1 && at > 4*time.Second && at < 10*time.Second {
			return 1e6
		}
		return 1
	}
	for _, c := range []struct {
		name  string
		kinds []overloadKind
		slow  func(int, time.Duration) float64
	}{
		{"calm", usualKinds(), nominalSpeed},
		{"long-jobs", overloaded(1, 2.5), nominalSpeed},
		{"short-jobs", overloaded(0, 2.5), nominalSpeed},
		{"two-kinds", bothKinds, nominalSpeed},
		{"two-kinds-and-slow-targets", bothKinds, slowTargets},
		{"long-jobs-and-a-hung-target", overloaded(1, 2.5), hungTarget},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				sim := newOverloadSim(seed, c.kinds, c.slow)
				sim.run()
				for k := range c.kinds {
					name := c.kinds[k].route.Name
					t.Logf("seed %d: %s: %.3f served, of the largest tenth %.3f", seed, name, sim.servedFraction(k), sim.largestServed(k))
					require.GreaterOrEqual(t, sim.servedFraction(k), minServedFraction, "seed %d: %s", seed, name)
					require.GreaterOrEqual(t, sim.largestServed(k), sim.servedFraction(k)/2, "seed %d: largest of %s", seed, name)
				}
			}
		})
	}
}
