package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/pairs"
	"persimmonstage/core/route"
)

// apartSim plays callers of three routes against targets on which runs of one route slow those of another down.
type apartSim struct {
	*harness
	rng     *rand.Rand
	slowing func(slowed, by string) float64 // factor for each run beside
	runs    []*apartRun
	targets []string
	seen    map[string]uint64
	changes []pairs.Change
	done    map[string]int // jobs in time, by route
	jobs    map[string]int
	sent    int
	counts  map[string]*[len(apartRoutes)]int // runs by target and route

	lastTick time.Time
}

type apartRun struct {
	target  string
	route   int
	attempt uint64
	began   time.Time
	left    float64 // ms of work
	beside  [len(apartRoutes)]int
}

type apartRoute struct {
	name string
	n    int
	ms   float64
}

// apartRoutes are the routes with their numbers of tasks and the run time of a task.
var apartRoutes = [...]apartRoute{{"quote", 4, 40}, {"scan", 2, 150}, {"status", 4, 60}}

const (
	apartTargets  = 12
	apartRoom     = 8000
	apartTask     = 1000
	apartStep     = time.Millisecond
	apartDeadline = 1500 * time.Millisecond
)

func newApartSim(seed uint64, on bool, slowing func(slowed, by string) float64) *apartSim {
	s := &apartSim{
		harness: newHarness(), rng: rand.New(rand.NewPCG(seed, 1)), slowing: slowing, seen: map[string]uint64{},
		done: map[string]int{}, jobs: map[string]int{}, counts: map[string]*[len(apartRoutes)]int{},
	}
	if on {
		s.sched.KeepApart(func(c pairs.Change) { s.changes = append(s.changes, c) })
	}
	for i := range apartTargets {
		name := fmt.Sprint("t", i)
		s.targets = append(s.targets, name)
		s.counts[name] = new([len(apartRoutes)]int)
		s.sched.Join(s.now, name, "i", "z", s.state(name))
	}
	return s
}

func (s *apartSim) state(target string) TargetState {
	st := TargetState{Service: "s", Millicores: apartRoom, MemoryMB: 1 << 20, Usable: true, Pace: 1, Seen: s.seen[target]}
	asked := s.sched.ApartKinds()
	for _, r := range s.runs {
		if r.target != target {
			continue
		}
		st.UsedMillicores += apartTask
		if k := pairs.KindOf(apartRoutes[r.route].name); slices.Contains(asked, k) {
			st.Beside = append(st.Beside, k)
		}
	}
	return st
}

// submit submits a job of n tasks of about ms of work.
func (s *apartSim) submit(name string, n int, ms float64) {
	s.sent++
	s.jobs[name]++
	long := math.Exp(0.3 * s.rng.NormFloat64())
	arrived := s.now
	objective := time.Duration(1.6 * ms * long * float64(time.Millisecond))
	b := &batch.Batch{
		ID: fmt.Sprintf("%s-%d", name, s.sent), Tasks: n, Millicores: apartTask, Declared: time.Duration(ms * float64(time.Millisecond)),
		Deadline: s.now.Add(apartDeadline), Payload: []byte(fmt.Sprint(ms * long)),
		Route: &route.Route{Name: name, Service: "s", MaxAttempts: 2, BaseObjective: 60 * time.Millisecond, Stretch: 1.6},
	}
	s.sched.Submit(s.now, b, func(f jobend.Outcome) {
		if f.Kind == jobend.Done && s.now.Sub(arrived) <= objective {
			s.done[name]++
		}
	})
}

// step lets the targets work for apartStep.
func (s *apartSim) step() {
	for i, o := range s.starts {
		ms := 0.0
		_, _ = fmt.Sscan(string(o.Payload), &ms)
		s.seen[s.startTargets[i]] = o.Attempt
		s.runs = append(s.runs, &apartRun{
			target: s.startTargets[i], attempt: o.Attempt, began: s.now, left: ms * math.Exp(0.1*s.rng.NormFloat64()),
			route: slices.IndexFunc(apartRoutes[:], func(r apartRoute) bool { return r.name == o.Route }),
		})
	}
	s.starts, s.startTargets = nil, nil
	s.now = s.now.Add(apartStep)
	for _, c := range s.counts {
		*c = [len(apartRoutes)]int{}
	}
	for _, r := range s.runs {
		s.counts[r.target][r.route]++
	}
	for _, r := range s.runs {
		speed := 1.0
		for other, n := range s.counts[r.target] {
			if other == r.route {
				n--
			}
			r.beside[other] += n
			if f := s.slowing(apartRoutes[r.route].name, apartRoutes[other].name); f > 1 && n > 0 {
				speed /= math.Pow(f, float64(n))
			}
		}
		r.left -= speed
	}
	var ended []*apartRun
	s.runs = slices.DeleteFunc(s.runs, func(r *apartRun) bool {
		if r.left <= 0 {
			ended = append(ended, r)
		}
		return r.left <= 0
	})
	for _, r := range ended {
		ran := s.now.Sub(r.began)
		var shares []pairs.Share
		for other, steps := range r.beside {
			if steps > 0 {
				k := pairs.KindOf(apartRoutes[other].name)
				shares = append(shares, pairs.Share{Kind: k, Runs: float64(steps) * float64(apartStep) / float64(ran)})
			}
		}
		s.sched.Measured(r.target, r.attempt, ran, shares)
		s.sched.Ended(s.now, r.target, r.attempt, EndDone)
		s.sched.UpdateTarget(s.now, r.target, s.state(r.target))
	}
	if s.now.Sub(s.lastTick) >= tickPeriod {
		s.sched.Tick(s.now)
		s.lastTick = s.now
	}
}

// play submits jobs at a rate that uses about the given fraction of the targets while nothing is slowed down.
func (s *apartSim) play(span time.Duration, load float64) {
	const work = 4*40 + 2*150 + 4*60 // ms of the tasks of one job of each route
	rate := load * apartTargets * apartRoom / apartTask / work
	for range span / apartStep {
		for _, r := range apartRoutes {
			if s.rng.Float64() < rate {
				s.submit(r.name, r.n, r.ms)
			}
		}
		s.step()
	}
}

// served returns the fraction of the jobs that ended in time.
func (s *apartSim) served() float64 {
	done, jobs := 0, 0
	for name, n := range s.jobs {
		done, jobs = done+s.done[name], jobs+n
	}
	return float64(done) / float64(jobs)
}

// scansSlowQuotes is a stand-in for targets on which each scan slows each quote by 30 %.
func scansSlowQuotes(slowed, by string) float64 {
	if slowed == "quote" && by == "scan" {
		return 1.3
	}
	return 1
}

func nothingSlows(string, string) float64 { return 1 }

// TestRoutesThatSlowEachOtherDownAreKeptApart guards against callers who are late because their tasks share a target with others that
// slow them down, although there is room elsewhere. Load: 40 % and 80 % of the targets.
func TestRoutesThatSlowEachOtherDownAreKeptApart(t *testing.T) {
	for _, load := range []float64{0.4, 0.8} {
		var served [2]float64
		for i, on := range []bool{false, true} {
			for seed := range uint64(3) {
				s := newApartSim(seed, on, scansSlowQuotes)
				s.play(20*time.Second, load)
				served[i] += s.served() / 3
				t.Logf("load %.1f, on %v: served %.3f, quotes %.3f; %+v", load, on, s.served(), float64(s.done["quote"])/float64(s.jobs["quote"]), s.changes)
				if on {
					require.NotEmpty(t, s.changes)
					for _, c := range s.changes {
						require.Equal(t, [2]string{"quote", "scan"}, [2]string{c.Slowed, c.By})
					}
				}
			}
		}
		t.Logf("load %.1f: served %.3f, apart %.3f", load, served[0], served[1])
		require.Greater(t, served[1], served[0])
	}
}

// TestNothingIsKeptApartWithoutSlowdown guards against placements that change although no route slows another one down.
func TestNothingIsKeptApartWithoutSlowdown(t *testing.T) {
	for seed := range uint64(3) {
		for _, load := range []float64{0.4, 0.8, 1.2} {
			off, on := newApartSim(seed, false, nothingSlows), newApartSim(seed, true, nothingSlows)
			off.play(10*time.Second, load)
			on.play(10*time.Second, load)
			require.Empty(t, on.changes)
			require.InDelta(t, off.served(), on.served(), 0)
		}
	}
}

// TestATaskIsStartedBesideAConflictIfThereIsNoOtherRoom guards against jobs that wait or are refused to be kept apart.
func TestATaskIsStartedBesideAConflictIfThereIsNoOtherRoom(t *testing.T) {
	s := newApartSim(1, true, scansSlowQuotes)
	s.play(20*time.Second, 0.4)
	require.NotEmpty(t, s.sched.ApartKinds())
	for len(s.runs) > 0 || s.sched.Snapshot().Open > 0 {
		s.step()
	}
	for _, name := range s.targets {
		st := s.state(name)
		st.Beside = []pairs.Kind{pairs.KindOf("scan")}
		s.sched.UpdateTarget(s.now, name, st)
	}
	s.starts = nil
	s.submit("quote", 4, 40)
	require.Len(t, s.starts, 4)
}
