package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// submitLate submits a job of 383 ms a task, one on each of three targets, as the job e08570fcd604883c of kovacsreti, quiet-1.
func submitLate(h *harness, tasks int) {
	for _, name := range []string{"a", "b", "c"} {
		h.join(name, 1)
	}
	b := h.batch("j", tasks, 383*ms)
	b.MaxPerTarget = 1
	b.Deadline = h.now.Add(1489 * ms)
	h.submit(b)
}

func (h *harness) forecast(i int, left time.Duration) {
	h.sched.Forecast(h.now, h.startTargets[i], h.starts[i].Attempt, left)
}

// TestTasksOfALongJobAreNotMoved replays a job whose three tasks, seven times as long as usual, would have ended in time: all were moved
// by their first forecasts, and the second runs couldn't end before the deadline.
func TestTasksOfALongJobAreNotMoved(t *testing.T) {
	h := newHarness()
	submitLate(h, 3)
	h.run(100 * ms)
	h.forecast(0, 1316*ms)
	require.Empty(t, h.stops, "its other tasks will soon tell")
	h.run(20 * ms)
	h.forecast(1, 1150*ms)
	h.run(30 * ms)
	h.forecast(2, 1081*ms)
	h.run(1100 * ms)
	require.Empty(t, h.stops)
	for i := range h.starts {
		h.endAttempt(h.startTargets[i], EndDone, i)
	}
	require.Equal(t, 0, h.moves)
	require.Equal(t, "done", h.outcomes["j"].Kind.String())
}

func TestATaskThatIsLateAloneIsMoved(t *testing.T) {
	h := newHarness()
	submitLate(h, 3)
	h.run(100 * ms)
	h.forecast(0, 2000*ms)
	h.run(reportTime - 100*ms)
	require.Empty(t, h.stops, "the room at the other targets is of no use: a task of the job runs on each")
	h.endAttempt(h.startTargets[1], EndDone, 1)
	h.endAttempt(h.startTargets[2], EndDone, 2)
	h.run(tickPeriod)
	require.Equal(t, []uint64{h.starts[0].Attempt}, h.stops)
}

// TestTheOtherRunsOfATargetTellThatItIsSlow guards against tasks that stay on a slow target until the job's other tasks have been
// running for a while.
func TestTheOtherRunsOfATargetTellThatItIsSlow(t *testing.T) {
	h := newHarness()
	submitLate(h, 2)
	h.run(60 * ms)
	h.forecast(0, 2240*ms)
	require.Empty(t, h.stops)
	slow := idleState(4)
	slow.Seen = h.sched.lastAttempt
	h.sched.UpdateTarget(h.now, h.startTargets[0], slow)
	require.Equal(t, []uint64{h.starts[0].Attempt}, h.stops)
}

// TestALongJobHasALaterObjective guards against waiting tasks of a long job that are put behind all others: they can't meet the
// objective of a usual job, but the objective follows from the work.
func TestALongJobHasALaterObjective(t *testing.T) {
	h := newHarness()
	submitLate(h, 3)
	h.run(100 * ms)
	for i := range h.starts {
		h.forecast(i, 900*ms)
	}
	require.Equal(t, testRoute.Objective(1000*ms), h.sched.jobs["j"].objective.Sub(h.sched.jobs["j"].arrived))
}

// TestAnAttemptThatEndsBeforeItsForecastIsCounted covers what the errors of giving up are estimated from.
func TestAnAttemptThatEndsBeforeItsForecastIsCounted(t *testing.T) {
	h := newHarness()
	submitLate(h, 2)
	h.run(100 * ms)
	h.forecast(0, 900*ms)
	h.forecast(1, 900*ms)
	h.run(740 * ms)
	h.endAttempt(h.startTargets[0], EndDone, 0)
	h.run(160 * ms)
	h.endAttempt(h.startTargets[1], EndDone, 1)
	require.Equal(t, 2, h.summaries[0].Forecasts)
	require.Equal(t, 1, h.summaries[0].Early, "the earliest possible end of both was 750 ms after the forecast")
}

// givenUp counts errors with jobs that take longer than expected.
type givenUp struct {
	jobs, wrongly, kept int
}

// countGivenUp counts the jobs that weren't done though all their tasks would have ended before the deadline where they were first started,
// and those that were kept until the deadline in vain.
func (sim *overloadSim) countGivenUp() *givenUp {
	n := &givenUp{}
	ends := map[string]time.Time{} // the latest end of a job's first attempts
	deadlines := map[string]time.Time{}
	first := map[string]int{}
	sim.onSubmit = func(id string, _ *overloadJob) {
		n.jobs++
		deadlines[id] = sim.now.Add(1490 * ms)
	}
	sim.onStart = func(r *overloadRun) {
		if r.start.Number > 1 {
			return
		}
		id := r.start.Task[:16]
		first[id]++
		if end := sim.now.Add(time.Duration(r.target.pace * float64(r.job.work[r.index]))); end.After(ends[id]) {
			ends[id] = end
		}
	}
	sim.onEnd = func(st *JobSummary) {
		switch {
		case st.Outcome.Kind.String() == "done" || st.Outcome.Reason == Overload:
		case st.Outcome.Reason == Deadline:
			n.kept++
		case first[st.ID] == st.Tasks && !ends[st.ID].After(deadlines[st.ID]):
			n.wrongly++
		}
	}
	return n
}

// servedOfPossible returns the fractions served of a kind's jobs, and of the largest tenth of them, that an idle target of pace 1 could
// end before the deadline.
func (sim *overloadSim) servedOfPossible(k int) (all, largest float64) {
	var list []jobEnd
	for _, j := range sim.jobs {
		if j.kind == k && slices.Max(j.work) < 1490*ms && sim.now.Sub(j.arrived) > 1490*ms {
			list = append(list, jobEnd{j.size, j.served})
		}
	}
	slices.SortFunc(list, func(a, b jobEnd) int { return cmp.Compare(b.size, a.size) })
	served := func(list []jobEnd) float64 {
		n := 0.0
		for _, e := range list {
			if e.served {
				n++
			}
		}
		return n / float64(len(list))
	}
	return served(list), served(list[:max(1, len(list)/10)])
}

// TestLongJobsAmongUsualLoad replays a fleet of equal targets at half load where 3 of 100 jobs have seven times the work of their kind. A
// job is given up wrongly in fewer than 1 of 1,000 cases, and kept in vain in fewer than 1 of 100; of the largest tenth of a kind at
// least half as many are served as of all.
func TestLongJobsAmongUsualLoad(t *testing.T) {
	total := givenUp{}
	for seed := range uint64(4) {
		kinds := usualKinds()
		kinds[0].work, kinds[1].work, kinds[2].work = 51*ms, 760*ms, 170*ms
		sim := newOverloadSim(seed, kinds, nominalSpeed)
		sim.longShare = 0.03
		for _, target := range sim.targets {
			target.pace = 1
		}
		n := sim.countGivenUp()
		sim.run()
		total.jobs, total.wrongly, total.kept = total.jobs+n.jobs, total.wrongly+n.wrongly, total.kept+n.kept
		for k := range sim.kinds {
			all, largest := sim.servedOfPossible(k)
			t.Logf("seed %d: %s: of those that could end in time %.3f served, of the largest tenth %.3f", seed, sim.kinds[k].route.Name, all, largest)
			require.GreaterOrEqual(t, largest, all/2, "seed %d: largest of %s", seed, sim.kinds[k].route.Name)
		}
	}
	t.Logf("%+v", total)
	require.Less(t, 1000*total.wrongly, total.jobs)
	require.Less(t, 100*total.kept, total.jobs)
}

// TestATaskOfAPressedJobTakesATargetThatJustEndsIt replays jobs of kovacsreti, trouble-1, of which three of six tasks ran, while the others
// waited at 87 % load for targets whose measured pace was a little better than that of those with room, until none could end them.
func TestATaskOfAPressedJobTakesATargetThatJustEndsIt(t *testing.T) {
	h := newHarness()
	h.join("fast", 0.9)
	fast := usedState(7, 0)
	fast.Pace = 0.9
	h.sched.UpdateTarget(h.now, "fast", fast)
	h.join("usual", 1.1)
	b := h.batch("j", 6, 1300*ms)
	b.Deadline = h.now.Add(1489 * ms)
	h.submit(b)
	require.Equal(t, []string{"fast", "fast", "fast", "usual", "usual", "usual"}, h.startTargets)
}

// TestAJobThatIsNotPressedWaitsForItsObjective is the same for a job that would miss its objective, not its deadline.
func TestAJobThatIsNotPressedWaitsForItsObjective(t *testing.T) {
	h := newHarness()
	h.join("fast", 0.9)
	fast := usedState(10, 0)
	fast.Pace = 0.9
	h.sched.UpdateTarget(h.now, "fast", fast)
	h.join("slow", 3)
	h.submit(h.batch("j", 1, 200*ms))
	require.Empty(t, h.starts)
}

// TestAJobThatWaitsForAFastTargetIsNoBacklog guards against jobs that are refused as overload, at loads of 37 % and more, behind a long job
// whose tasks wait for a fast target, though there is room for them (kovacsreti, trouble-1).
func TestAJobThatWaitsForAFastTargetIsNoBacklog(t *testing.T) {
	h := newHarness()
	h.join("fast", 0.6)
	fast := usedState(9, 0)
	fast.Pace = 0.6
	h.sched.UpdateTarget(h.now, "fast", fast)
	h.join("slow", 1.3)
	long := h.batch("long", 2, 1500*ms)
	long.Deadline = h.now.Add(1489 * ms)
	h.submit(long)
	require.Len(t, h.starts, 1, "there is room for one task at the fast target")
	fast.UsedMillicores, fast.Seen = capacity, h.sched.lastAttempt
	h.sched.UpdateTarget(h.now, "fast", fast)
	h.run(400 * ms)
	for i := range 5 {
		h.submit(h.batch(fmt.Sprint("short", i), 1, 100*ms))
	}
	require.Len(t, h.starts, 6)
	require.Empty(t, h.outcomes)
}
