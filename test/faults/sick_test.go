package faults

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

const (
	slots = 8 // per target
	// failuresToEject is the evidence at which core/eject ejects a target, 12, divided by the least evidence of one failure of a
	// kind that mostly succeeds, ln(0.5/0.05), rounded up.
	failuresToEject = 6
	failing         = "fails what it starts"
	hanging         = "starts tasks and ends none"
)

var steadyLoad = load{callers: 24, kinds: []string{"sort"}, tasks: 1, workMS: 50, life: lifetime, entries: []string{"entry-1"}}

// awaitWarm waits until a fleet has run enough tasks for the entry to have statistics of their kinds.
func awaitWarm(f *fleet.Fleet, agents int) {
	f.Await("the entry has statistics of the kinds", func() bool { return len(f.AllStarts(agents)) > 200 })
}

func awaitEjected(f *fleet.Fleet, target, reason string) {
	f.Await(target+" is ejected", func() bool {
		s, ok := f.State("entry-1")
		return ok && s.EjectReason(target) == reason
	})
}

// awaitStarts waits until a target has started more than n tasks.
func awaitStarts(f *fleet.Fleet, target string, n int) {
	f.Await(target+" gets tasks", func() bool { return f.Starts(target).Total > n })
}

// countFailed counts the jobs that didn't complete, and requires that all of these failed.
func countFailed(t *testing.T, got []outcome) int {
	t.Helper()
	n := 0
	for _, o := range got {
		require.Empty(t, o.errs, o.id)
		if o.answers[0].Outcome != "complete" {
			require.Equal(t, "failed", o.answers[0].Outcome, o.answers[0].Reason)
			n++
		}
	}
	return n
}

// A target that fails every task at once looks idle and fast and would attract more. It must be ejected after few tasks, be
// probed without starting any task, and get tasks again once it is healthy.
func TestTargetThatFailsEverything(t *testing.T) {
	f := fleet.New(t, 1, 4)
	got := runLoad(f, t, steadyLoad, func() {
		awaitWarm(f, 4)
		f.TargetFaults("target-2", `{"fail": true}`)
		awaitEjected(f, "agent-2", failing)
		f.Await("nothing is in flight there", func() bool {
			s, ok := f.State("entry-1")
			return ok && s.Targets[1].InFlight == 0
		})
		taken := f.Starts("target-2").Total
		f.Await("the target is probed", func() bool { return f.Starts("target-2").Probes > 0 })
		require.Equal(t, taken, f.Starts("target-2").Total, "a probe started a task")
		require.Contains(t, command(f, "entry-1", "targets"), failing)
		f.TargetFaults("target-2", `{}`)
		awaitStarts(f, "target-2", taken+50)
	})
	n := countFailed(t, got)
	require.Positive(t, n)
	require.LessOrEqual(t, n, failuresToEject+slots, "more than the failures to eject it and the tasks in flight")
	t.Logf("the target took %d tasks", n)
	checkOutcomes(t, f.AllStarts(4), got)
	f.Stop("entry-1") // records the minute in progress
	f.Restart("entry-1")
	f.Await("the day's report names the target", func() bool {
		return strings.Contains(command(f, "entry-1", "report"), "The target agent-2 failed everything")
	})
}

// A target hangs with the tasks that it has started. Waiting tasks must be placed on other targets, and the target must get
// tasks again once it has recovered.
func TestTargetThatHangs(t *testing.T) {
	f := fleet.New(t, 1, 4)
	many := steadyLoad
	many.callers, many.workMS, many.life = 40, 100, 6*time.Second
	got := runLoad(f, t, many, func() {
		awaitWarm(f, 4)
		f.TargetFaults("target-2", `{"hang": true}`)
		awaitEjected(f, "agent-2", hanging)
		f.TargetFaults("target-2", `{}`)
		awaitStarts(f, "target-2", f.Starts("target-2").Total+50)
	})
	n := countFailed(t, got)
	require.Positive(t, n)
	require.LessOrEqual(t, n, slots)
	t.Logf("the target took %d tasks", n)
	checkOutcomes(t, f.AllStarts(4), got)
}

// A kind that fails on every target must not get any target ejected.
func TestKindThatFailsEverywhere(t *testing.T) {
	f := fleet.New(t, 1, 4)
	mixed := steadyLoad
	mixed.kinds = []string{"sort", "compress"}
	failed := map[string]int{}
	warm := runLoad(f, t, mixed, func() { awaitWarm(f, 4) })
	requireAllComplete(t, warm)
	// No jobs run while the targets are set to fail one after another: a kind that fails on some targets only would rightly
	// count against these.
	for _, name := range fleet.Names("target", 4) {
		f.TargetFaults(name, `{"fail-kind": "compress"}`)
	}
	mixed.first = len(warm)
	got := runLoad(f, t, mixed, func() {
		before := len(f.AllStarts(4))
		f.Await("many of them failed", func() bool {
			s, ok := f.State("entry-1")
			for i := range s.Targets {
				require.NotContains(t, []string{failing, hanging}, s.Targets[i].Out)
			}
			return ok && len(f.AllStarts(4)) > before+600
		})
	})
	for _, o := range got {
		if o.answers[0].Outcome != "complete" {
			failed[strings.SplitN(o.id, "-", 2)[0]]++
		}
	}
	require.Zero(t, failed["sort"])
	require.Greater(t, failed["compress"], 4*failuresToEject)
	f.AwaitTargets("entry-1", 4)
}

// When most targets fail, at most a third may be ejected, and the entry must go on placing on the others.
func TestMostTargetsFail(t *testing.T) {
	const agents, atMost = 6, 2
	f := fleet.New(t, 1, agents)
	got := runLoad(f, t, steadyLoad, func() {
		awaitWarm(f, agents)
		for _, name := range fleet.Names("target", 4) {
			f.TargetFaults(name, `{"fail": true}`)
		}
		before, most := f.Starts("target-6").Total, 0
		f.Await("a third have been ejected, and the healthy targets get tasks", func() bool {
			s, ok := f.State("entry-1")
			most = max(most, len(s.Targets)-s.Usable())
			require.LessOrEqual(t, most, atMost)
			return ok && most == atMost && f.Starts("target-6").Total > before+200
		})
	})
	require.Positive(t, countFailed(t, got))
	checkOutcomes(t, f.AllStarts(agents), got)
}

// The day's report must name a target whose agent died, also if the entry noticed by its closed connections.
func TestReportNamesDeadAgent(t *testing.T) {
	f := fleet.New(t, 1, 2)
	f.Kill("agent-2")
	f.AwaitTargets("entry-1", 1)
	f.Restart("agent-2")
	f.AwaitTargets("entry-1", 2)
	f.Stop("entry-1")
	f.Restart("entry-1")
	f.Await("the day's report names the target", func() bool {
		return strings.Contains(command(f, "entry-1", "report"), "The target agent-2, or the host it ran on, died")
	})
	require.NotContains(t, command(f, "entry-1", "report"), "The target agent-1, or the host")
}

// Tasks that are withdrawn before their start, at the job's deadline, must not get a target ejected as hanging.
func TestWithdrawnTasksEjectNoTarget(t *testing.T) {
	f := fleet.New(t, 1, 2)
	body, deadline := job(t, "withdrawn", "sort", 3*slots, 1000, 600*time.Millisecond)
	_, r, _ := post(t, f, "entry-1", body, deadline)
	require.Equal(t, "failed", r.Outcome, r.Reason)
	require.Len(t, f.AllStarts(2), 2*slots, "all other tasks are withdrawn")
	for range 30 {
		s, _ := f.State("entry-1")
		require.NotEqual(t, hanging, s.EjectReason("agent-1"))
		require.NotEqual(t, hanging, s.EjectReason("agent-2"))
		time.Sleep(100 * time.Millisecond)
	}
}
