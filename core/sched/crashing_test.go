package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/crash"
)

const (
	deadlyFrom  = 5 * time.Second
	deadlyUntil = 15 * time.Second
	// deadlyShare is the fraction of the jobs of one kind that have a task which crashes each target that starts it.
	deadlyShare = 0.1
	// crashDelay is the time from the start of such a task to the crash, and detectDelay from the crash to its detection.
	crashDelay  = 8 * time.Millisecond
	detectDelay = 8 * time.Millisecond
	restartTime = 3200 * time.Millisecond
	// maxTaskCrashes is the number of crashes under one task after which it may no longer be started repeatedly.
	maxTaskCrashes = 3
)

// crashSim adds tasks that crash their targets to the simulation.
type crashSim struct {
	*overloadSim
	deadly    map[string]int // the deadly task's index by job
	crashes   map[string]int // by job
	downUntil map[*overloadTarget]time.Time
	detectAt  map[*overloadTarget]time.Time
	submitted []float64 // from deadlyFrom to deadlyUntil, by kind
	served    []float64
}

func newCrashSim(seed uint64) *crashSim {
	kinds := usualKinds()
	sim := &crashSim{
		deadly: map[string]int{}, crashes: map[string]int{},
		downUntil: map[*overloadTarget]time.Time{}, detectAt: map[*overloadTarget]time.Time{},
		submitted: make([]float64, len(kinds)), served: make([]float64, len(kinds)),
	}
	sim.overloadSim = newOverloadSim(seed, kinds, sim.downSlowness)
	sim.onSubmit = sim.markDeadly
	return sim
}

// downSlowness keeps the runs at a crashed target from progressing until the crash is detected.
func (sim *crashSim) downSlowness(i int, _ time.Duration) float64 {
	if _, down := sim.downUntil[sim.targets[i]]; down {
		return 1e9
	}
	return 1
}

// markDeadly gives a share of the jobs of the first kind a deadly task.
func (sim *crashSim) markDeadly(id string, j *overloadJob) {
	at := sim.now.Sub(sim.startTime)
	if j.kind == 0 && at >= deadlyFrom && at < deadlyUntil && sim.rng.Float64() < deadlyShare {
		sim.deadly[id] = sim.rng.IntN(len(j.work))
	}
}

// isDeadly reports whether a run crashes its target.
func (sim *crashSim) isDeadly(r *overloadRun) bool {
	index, ok := sim.deadly[r.start.Task[:16]]
	return ok && index == r.index
}

// runTargets crashes targets under deadly tasks, reports crashes after detectDelay and restarts targets after restartTime.
func (sim *crashSim) runTargets() {
	for _, t := range sim.targets {
		if at, down := sim.detectAt[t]; down && !sim.now.Before(at) {
			delete(sim.detectAt, t)
			sim.reportCrash(t)
		}
		until, down := sim.downUntil[t]
		switch {
		case down && !sim.now.Before(until):
			delete(sim.downUntil, t)
			sim.sched.UpdateTarget(sim.now, t.name, sim.state(t))
		case down:
			sim.refuseRuns(t)
		default:
			sim.crashUnderDeadly(t)
		}
	}
}

func (sim *crashSim) crashUnderDeadly(t *overloadTarget) {
	for _, r := range t.runs {
		if sim.isDeadly(r) && sim.now.Sub(r.startTime) >= crashDelay {
			sim.crashes[r.start.Task[:16]]++
			sim.downUntil[t] = sim.now.Add(restartTime)
			sim.detectAt[t] = sim.now.Add(detectDelay)
			return
		}
	}
}

// reportCrash ends the runs of a crashed target.
func (sim *crashSim) reportCrash(t *overloadTarget) {
	runs := t.runs
	t.runs = nil
	sim.updateDown(t)
	report := &crash.Report{ID: sim.now.UnixNano(), At: sim.now}
	for _, r := range runs {
		report.Tasks = append(report.Tasks, crash.Task{Name: r.start.Task, Route: r.start.Route, Ran: sim.now.Sub(r.startTime)})
	}
	sim.sched.Crashed(sim.now, t.name, report)
	for _, r := range runs {
		sim.sched.Ended(sim.now, t.name, r.start.Attempt, EndCrashed)
	}
}

// refuseRuns refuses the orders that arrive at a target that is known to be down.
func (sim *crashSim) refuseRuns(t *overloadTarget) {
	if _, undetected := sim.detectAt[t]; undetected {
		return
	}
	runs := t.runs
	t.runs = nil
	for _, r := range runs {
		sim.sched.Ended(sim.now, t.name, r.start.Attempt, EndRefused)
	}
}

func (sim *crashSim) updateDown(t *overloadTarget) {
	st := sim.state(t)
	st.Usable = false
	sim.sched.UpdateTarget(sim.now, t.name, st)
}

func (sim *crashSim) run() {
	for at := time.Duration(0); at < overloadSpan; at += simStep {
		sim.now = sim.startTime.Add(at)
		sim.submitArrivals(at)
		sim.runTargets()
		sim.runTasks(at)
		if at%(20*time.Millisecond) == 0 {
			sim.sched.Tick(sim.now)
		}
	}
	for _, j := range sim.jobs {
		if at := j.arrived.Sub(sim.startTime); at >= deadlyFrom && at < deadlyUntil {
			sim.submitted[j.kind]++
			if j.served {
				sim.served[j.kind]++
			}
		}
	}
}

func (sim *crashSim) maxCrashes() int {
	most := 0
	for _, n := range sim.crashes {
		most = max(most, n)
	}
	return most
}

// TestTasksThatCrashTargetsLeaveOtherKindsTheirService guards against jobs of one kind that crash each target which starts them:
// their attempts elsewhere and their successors took down all targets in turn, and no kind of job was served.
func TestTasksThatCrashTargetsLeaveOtherKindsTheirService(t *testing.T) {
	for seed := range uint64(4) {
		sim := newCrashSim(seed)
		sim.run()
		t.Logf("seed %d: %d deadly jobs crashed targets, one at most %d", seed, len(sim.crashes), sim.maxCrashes())
		for k := range sim.kinds {
			t.Logf("seed %d: %s: %.3f served", seed, sim.kinds[k].route.Name, sim.served[k]/sim.submitted[k])
		}
		require.LessOrEqual(t, sim.maxCrashes(), maxTaskCrashes, "seed %d: crashes under one task", seed)
		for k := 1; k < len(sim.kinds); k++ {
			require.GreaterOrEqual(t, sim.served[k]/sim.submitted[k], minServedFraction, "seed %d: %s", seed, sim.kinds[k].route.Name)
		}
	}
}
