package sched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/route"
)

const (
	// rackTargets is the number of targets of a rack, out of eleven, and rackCrashes how often a rack crashes in a simulation.
	rackTargets = 3
	rackCrashes = 4
	// rackSpan is the simulated time, and rackFrom the time of the first crash at the earliest.
	rackSpan = 8 * time.Second
	rackFrom = time.Second
	// nearSpan is the time within which most of the tasks of a crash run again.
	nearSpan = 500 * time.Millisecond
)

// rackSeeds is the number of simulations of each load pattern.
var rackSeeds = flag.Uint64("rack-seeds", 5, "how many seeds of each load pattern with crashing racks are simulated")

// rackCrash is a crash of all targets of a rack at the same moment.
type rackCrash struct {
	at    time.Duration
	first int // of rackTargets targets
}

// rackSim adds targets that crash whatever they run.
type rackSim struct {
	*crashSim
	planned  []rackCrash
	confined []string // routes that were ever confined
	crashed  int      // targets
}

// newRackSim plans crashes at random moments, or, if near, every other one within nearSpan after the one before.
func newRackSim(seed uint64, kinds []overloadKind, near bool) *rackSim {
	sim := &rackSim{crashSim: newCrashSim(seed)}
	sim.onSubmit = nil
	sim.kinds = kinds
	sim.served, sim.submitted = make([]float64, len(kinds)), make([]float64, len(kinds))
	rng := rand.New(rand.NewPCG(seed, 3))
	span := rackSpan - rackFrom - time.Second
	for range rackCrashes {
		at := rackFrom + time.Duration(rng.Int64N(int64(span)))
		sim.planned = append(sim.planned, rackCrash{at.Truncate(simStep), rng.IntN(len(sim.targets))})
	}
	if near {
		for i := 1; i < rackCrashes; i += 2 {
			at := sim.planned[i-1].at + time.Duration(rng.Int64N(int64(nearSpan)))
			sim.planned[i].at = at.Truncate(simStep)
		}
	}
	return sim
}

func (sim *rackSim) crashRacks(at time.Duration) {
	for _, c := range sim.planned {
		if c.at != at {
			continue
		}
		for i := range rackTargets {
			t := sim.targets[(c.first+i)%len(sim.targets)]
			if _, down := sim.downUntil[t]; !down {
				sim.downUntil[t], sim.detectAt[t] = sim.now.Add(restartTime), sim.now.Add(detectDelay/2+time.Duration(sim.rng.Int64N(int64(detectDelay/2))))
				sim.crashed++
			}
		}
	}
}

func (sim *rackSim) run() {
	for at := time.Duration(0); at < rackSpan; at += simStep {
		sim.now = sim.startTime.Add(at)
		sim.submitArrivals(at)
		sim.crashRacks(at)
		sim.runTargets()
		sim.runTasks(at)
		if at%(20*time.Millisecond) == 0 {
			sim.sched.Tick(sim.now)
		}
		for name := range sim.sched.confined {
			if sim.sched.confined[name] && !slices.Contains(sim.confined, name) {
				sim.confined = append(sim.confined, name)
			}
		}
	}
}

// failed returns the number of jobs that were given up as crashing their targets: those with a task in maxTaskCrashes crashes, which
// may not be started repeatedly whatever the cause, and the others.
func (sim *rackSim) failed() (limited, convicted int) {
	for id, j := range sim.jobs {
		if j.outcome.Reason != Crashing {
			continue
		}
		most := 0
		for i := range j.work {
			most = max(most, sim.sched.blame.Crashes(fmt.Sprintf("%s.0.0.%d", id, i)))
		}
		if most >= maxTaskCrashes {
			limited++
		} else {
			convicted++
		}
	}
	return limited, convicted
}

// wideKinds are kinds of which the first one has wide jobs and most of the load.
func wideKinds() []overloadKind {
	kinds := usualKinds()
	kinds[0].tasks, kinds[0].rate, kinds[0].work = 24, 11, 150*time.Millisecond
	kinds[1].rate = 3
	kinds[2].rate = 40
	return kinds
}

// oneWideKind has a route with nearly all tasks and one with few.
func oneWideKind() []overloadKind {
	kinds := wideKinds()[:2]
	kinds[0].rate = 16
	kinds[1] = overloadKind{
		route: route.Route{Name: "rare", Service: "s", MaxAttempts: 3, BaseObjective: 60 * time.Millisecond, Stretch: 1.6},
		rate:  4, tasks: 1, work: 50 * time.Millisecond, overloadFactor: 1,
	}
	return kinds
}

// idleKinds leave targets with a task or two at a time, so that each has a large share of the blame of a crash.
func idleKinds() []overloadKind {
	kinds := usualKinds()
	for k := range kinds {
		kinds[k].rate /= 10
	}
	return kinds
}

// TestTargetsThatCrashByThemselvesFailNoJob guards against false alarms: racks crash several times, also again while the tasks that
// they ran are attempted elsewhere, and a sound job is given up or its route confined.
func TestTargetsThatCrashByThemselvesFailNoJob(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds func() []overloadKind
		near  bool
	}{
		{"usual", usualKinds, false},
		{"wide", wideKinds, false},
		{"one-wide", oneWideKind, false},
		{"usual-near", usualKinds, true},
		{"wide-near", wideKinds, true},
		{"one-wide-near", oneWideKind, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			convicted, confined := simulateRackCrashes(t, *rackSeeds, c.kinds, c.near)
			require.Zero(t, convicted, "sound jobs failed after fewer than %d crashes", maxTaskCrashes)
			require.Zero(t, confined, "routes confined")
		})
	}
}

// TestTargetsThatCrashWhileMostAreIdleFailNoJob covers a task that runs alone at its target at two crashes. The other targets of the
// rack run nothing, so that there is no report of their crashes.
func TestTargetsThatCrashWhileMostAreIdleFailNoJob(t *testing.T) {
	for _, near := range []bool{false, true} {
		convicted, confined := simulateRackCrashes(t, 4**rackSeeds, idleKinds, near)
		require.Zero(t, convicted, "sound jobs failed after fewer than %d crashes", maxTaskCrashes)
		require.Zero(t, confined, "routes confined")
	}
}

// simulateRackCrashes returns how many sound jobs failed after fewer than maxTaskCrashes crashes, and how many routes were confined.
func simulateRackCrashes(t *testing.T, seeds uint64, kinds func() []overloadKind, near bool) (convicted, confined int) {
	crashed, limited, jobs := 0, 0, 0
	for seed := range seeds {
		sim := newRackSim(seed, kinds(), near)
		sim.run()
		l, c := sim.failed()
		limited, convicted = limited+l, convicted+c
		crashed, confined, jobs = crashed+sim.crashed, confined+len(sim.confined), jobs+len(sim.jobs)
	}
	t.Logf("%d crashes, %d jobs: %d failed after %d crashes, %d after fewer, %d routes confined, %d seeds",
		crashed, jobs, limited, maxTaskCrashes, convicted, confined, seeds)
	return convicted, confined
}
