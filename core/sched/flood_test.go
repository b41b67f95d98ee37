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
	"persimmonstage/core/fate"
	"persimmonstage/core/route"
)

// The patterns below are replayed against the scheduler alone, in steps of a millisecond: three kinds of work, as many targets
// as can do some 1.4 times the usual work, a quarter of them twice as fast as the others, and a fault or flood in the middle.

// floodKind is a kind of work of the pattern.
type floodKind struct {
	route   route.Route
	rate    float64 // jobs a second
	tasks   float64 // mean
	work    time.Duration
	flooded float64 // by how much the rate rises during the flood
}

// floodJob is a job with what only the replay knows.
type floodJob struct {
	kind      int
	size      float64
	work      []time.Duration // of each task at a pace of 1
	arrived   time.Time
	objective time.Duration
}

// floodRun is an attempt at a target of the replay.
type floodRun struct {
	start  *Start
	target *floodTarget
	job    *floodJob
	index  int
	done   time.Duration // work done, at a pace of 1
	began  time.Time
	told   bool
}

type floodTarget struct {
	name  string
	pace  float64
	slow  func(t time.Duration) float64 // factor at a time of the replay
	runs  []*floodRun
	learn pace
}

// pace is the mean of the last run times over the expected ones, as the agents learn it.
type pace struct{ log float64 }

// floodBench replays a pattern.
type floodBench struct {
	sched   *Sched
	rng     *rand.Rand
	now     time.Time
	began   time.Time
	kinds   []floodKind
	targets []*floodTarget
	jobs    map[string]*floodJob
	served  []float64 // sizes served in time, by kind
	asked   []float64
	sizes   [][]floodEnd
	stopped []floodStop
}

// floodStop is a stop whose end is still to be told.
type floodStop struct {
	target string
	id     uint64
}

type floodEnd struct {
	size   float64
	served bool
}

func (f *floodBench) Start(target string, s *Start) {
	var id string
	var index int
	_, err := fmt.Sscanf(s.Task, "%16s.0.0.%d", &id, &index)
	if err != nil {
		panic(err)
	}
	for _, t := range f.targets {
		if t.name == target {
			t.runs = append(t.runs, &floodRun{start: s, target: t, job: f.jobs[id], index: index, began: f.now})
		}
	}
}

func (f *floodBench) Stop(target string, id uint64) {
	for _, t := range f.targets {
		if t.name == target {
			t.runs = slices.DeleteFunc(t.runs, func(r *floodRun) bool { return r.start.Attempt == id })
		}
	}
	f.stopped = append(f.stopped, floodStop{target, id})
}

func (f *floodBench) JobStarted(time.Duration)                                                     {}
func (f *floodBench) JobAccepted(string, string, int, time.Duration, time.Duration, time.Duration) {}
func (f *floodBench) AttemptEnded(string, int, string, string, time.Duration)                      {}
func (f *floodBench) TaskMoved(_, _ string, _ int64)                                               {}
func (f *floodBench) JobEnded(*JobSummary)                                                         {}

const (
	floodSpan  = 20 * time.Second
	floodFrom  = 5 * time.Second
	floodUntil = 11 * time.Second
	floodStep  = time.Millisecond
)

func usualKinds() []floodKind {
	return []floodKind{
		{route: route.Route{Name: "check", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 34, tasks: 8, work: 60 * time.Millisecond, flooded: 1},
		{route: route.Route{Name: "sheet", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 6, tasks: 4, work: 900 * time.Millisecond, flooded: 1},
		{route: route.Route{Name: "label", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6}, rate: 100, tasks: 2, work: 200 * time.Millisecond, flooded: 1},
	}
}

func newFlood(seed uint64, kinds []floodKind, slow func(i int, t time.Duration) float64) *floodBench {
	f := &floodBench{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), began: time.Unix(1000, 0), kinds: kinds,
		jobs: map[string]*floodJob{}, served: make([]float64, len(kinds)), asked: make([]float64, len(kinds)),
		sizes: make([][]floodEnd, len(kinds)),
	}
	f.sched = New(f, rand.New(rand.NewPCG(seed, 2)))
	for i := range 11 {
		t := &floodTarget{name: fmt.Sprint("t", i), pace: 1.2, slow: func(at time.Duration) float64 { return slow(i, at) }}
		if i%4 == 0 {
			t.pace = 0.55
		}
		f.targets = append(f.targets, t)
		f.sched.Join(f.now, t.name, "1", "z", f.state(t))
	}
	return f
}

func (f *floodBench) state(t *floodTarget) TargetState {
	s := TargetState{Service: "s", Millicores: 72_000, MemoryMB: 100_000, Usable: true, Pace: math.Exp(t.learn.log), Seen: f.sched.next}
	for _, r := range t.runs {
		s.UsedMillicores += r.start.Millicores
	}
	return s
}

// normal draws a factor of mean 1 and a logarithm of the given deviation.
func (f *floodBench) normal(deviation float64) float64 {
	return math.Exp(deviation*f.rng.NormFloat64() - deviation*deviation/2)
}

func (f *floodBench) arrive(at time.Duration) {
	for k := range f.kinds {
		rate := f.kinds[k].rate
		if at >= floodFrom && at < floodUntil {
			rate *= f.kinds[k].flooded
		}
		if f.rng.Float64() < rate*floodStep.Seconds() {
			f.submit(k)
		}
	}
}

func (f *floodBench) submit(k int) {
	kind := &f.kinds[k]
	id := fmt.Sprintf("%016x", len(f.jobs))
	tasks := max(1, int(kind.tasks*f.normal(0.4)+0.5))
	work := time.Duration(float64(kind.work) * f.normal(0.4))
	j := &floodJob{kind: k, arrived: f.now}
	longest := time.Duration(0)
	for range tasks {
		w := time.Duration(float64(work) * f.normal(0.15))
		j.work = append(j.work, w)
		longest = max(longest, w)
		j.size += w.Seconds()
	}
	j.objective = kind.route.Objective(longest)
	f.jobs[id] = j
	f.asked[k]++
	b := &batch.Batch{
		ID: id, Route: &kind.route, Tasks: tasks, Millicores: uint64(6_200 * f.normal(0.2)), MemoryMB: 64,
		Declared: time.Duration(float64(work) * f.normal(0.4)), Deadline: f.now.Add(1490 * time.Millisecond),
	}
	f.sched.Submit(f.now, b, func(end fate.Outcome) {
		ok := end.Kind == fate.Done && f.now.Sub(j.arrived) <= j.objective
		if ok {
			f.served[k]++
		}
		f.sizes[k] = append(f.sizes[k], floodEnd{j.size, ok})
	})
}

func (f *floodBench) work(at time.Duration) {
	for _, t := range f.targets {
		pace := t.pace * t.slow(at)
		changed := false
		for _, r := range slices.Clone(t.runs) {
			r.done += time.Duration(float64(floodStep) / pace)
			if r.done >= r.job.work[r.index] {
				t.runs = slices.DeleteFunc(t.runs, func(o *floodRun) bool { return o == r })
				took := pace * float64(r.job.work[r.index])
				t.learn.log += 0.1 * (math.Log(took/float64(r.start.ExpectedMS)/float64(time.Millisecond)) - t.learn.log)
				f.sched.UpdateTarget(f.now, t.name, f.state(t))
				f.sched.Ended(f.now, t.name, r.start.Attempt, EndDone)
				changed = true
				continue
			}
			f.foretell(t, r, pace)
		}
		if changed {
			f.sched.UpdateTarget(f.now, t.name, f.state(t))
		}
	}
	for _, s := range f.stopped {
		f.sched.Ended(f.now, s.target, s.id, EndStopped)
	}
	f.stopped = f.stopped[:0]
}

// foretell tells a run that takes unusually long once, as agents do.
func (f *floodBench) foretell(t *floodTarget, r *floodRun, pace float64) {
	whole := time.Duration(pace * float64(r.job.work[r.index]))
	usual := time.Duration(math.Exp(t.learn.log)*float64(r.start.ExpectedMS)) * time.Millisecond
	ran := f.now.Sub(r.began)
	early := ran < 50*time.Millisecond || ran < whole/16 && ran < usual
	if r.told || float64(whole) < 1.3*float64(usual) || early {
		return
	}
	r.told = true
	whole = min(whole, 100*ran)
	if float64(whole) > 2.2*float64(usual) {
		t.learn.log += 0.1 * (math.Log(float64(whole)/float64(r.start.ExpectedMS)/float64(time.Millisecond)) - t.learn.log)
	}
	f.sched.Forecast(f.now, t.name, r.start.Attempt, whole-ran)
}

func (f *floodBench) run() {
	for at := time.Duration(0); at < floodSpan; at += floodStep {
		f.now = f.began.Add(at)
		f.arrive(at)
		f.work(at)
		if at%(20*time.Millisecond) == 0 {
			f.sched.Tick(f.now)
		}
	}
}

// part returns the share of a kind's jobs that were served in time.
func (f *floodBench) part(k int) float64 { return f.served[k] / f.asked[k] }

// largest returns the share served of the largest tenth of a kind.
func (f *floodBench) largest(k int) float64 {
	list := f.sizes[k]
	slices.SortFunc(list, func(a, b floodEnd) int { return cmp.Compare(b.size, a.size) })
	list = list[:max(1, len(list)/10)]
	n := 0.0
	for _, e := range list {
		if e.served {
			n++
		}
	}
	return n / float64(len(list))
}

func sane(int, time.Duration) float64 { return 1 }

// The least part of each kind that users have to see served on their days with trouble.
const floodFloor = 0.45

func TestFloods(t *testing.T) {
	floodOf := func(k int, x float64) []floodKind {
		kinds := usualKinds()
		kinds[k].flooded = x
		return kinds
	}
	both := floodOf(1, 2.5)
	both[0].flooded = 1.6
	sick := func(i int, at time.Duration) float64 {
		if i < 2 && at > 4*time.Second && at < 12*time.Second {
			return 7
		}
		return 1
	}
	hung := func(i int, at time.Duration) float64 {
		if i == 1 && at > 4*time.Second && at < 10*time.Second {
			return 1e6
		}
		return 1
	}
	for _, c := range []struct {
		name  string
		kinds []floodKind
		slow  func(int, time.Duration) float64
	}{
		{"calm", usualKinds(), sane},
		{"long-jobs", floodOf(1, 2.5), sane},
		{"short-jobs", floodOf(0, 2.5), sane},
		{"two-kinds", both, sane},
		{"two-kinds-and-slow-targets", both, sick},
		{"long-jobs-and-a-hung-target", floodOf(1, 2.5), hung},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFlood(seed, c.kinds, c.slow)
				f.run()
				for k := range c.kinds {
					name := c.kinds[k].route.Name
					t.Logf("seed %d: %s: %.3f served, of the largest tenth %.3f", seed, name, f.part(k), f.largest(k))
					require.GreaterOrEqual(t, f.part(k), floodFloor, "seed %d: %s", seed, name)
					require.GreaterOrEqual(t, f.largest(k), f.part(k)/2, "seed %d: largest of %s", seed, name)
				}
			}
		})
	}
}
