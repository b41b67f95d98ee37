package faults

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

const (
	slots = 8 // of each target
	// failuresToEject is the evidence at which core/eject takes a target out, 12, over the least that a failure of a kind
	// that mostly succeeds says against it, ln(0.5/0.05).
	failuresToEject = 6
	failing         = "fails what it starts"
	hanging         = "starts tasks and ends none"
)

var steady = flow{callers: 24, kinds: []string{"sort"}, tasks: 1, workMS: 50, life: lifetime, entries: []string{"entry-1"}}

// awaitWarm waits until a fleet has run so many tasks that the entry knows their kinds.
func awaitWarm(f *fleet.Fleet, agents int) {
	f.Await("the kinds are known", func() bool { return len(f.AllStarts(agents)) > 200 })
}

func awaitOut(f *fleet.Fleet, target, reason string) {
	f.Await(target+" is out", func() bool {
		s, ok := f.State("entry-1")
		return ok && s.EjectReason(target) == reason
	})
}

// awaitMore waits until a target has started more than n tasks.
func awaitMore(f *fleet.Fleet, target string, n int) {
	f.Await(target+" gets work", func() bool { return f.Starts(target).Total > n })
}

// broken counts the jobs that didn't complete, all of which must have failed.
func broken(t *testing.T, got []outcome) int {
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

// A target that fails everything at once looks idle and fast: it is out after few tasks, probes cost no order, and once it
// is well it gets work again.
func TestTargetThatFailsEverything(t *testing.T) {
	f := fleet.New(t, 1, 4)
	got := offer(f, t, steady, func() {
		awaitWarm(f, 4)
		f.TargetFaults("target-2", `{"fail": true}`)
		awaitOut(f, "agent-2", failing)
		f.Await("nothing is in flight there", func() bool {
			s, ok := f.State("entry-1")
			return ok && s.Targets[1].InFlight == 0
		})
		taken := f.Starts("target-2").Total
		f.Await("it is probed", func() bool { return f.Starts("target-2").Probes > 0 })
		require.Equal(t, taken, f.Starts("target-2").Total, "a probe costs no order")
		require.Contains(t, command(f, "entry-1", "targets"), failing)
		f.TargetFaults("target-2", `{}`)
		awaitMore(f, "target-2", taken+50)
	})
	n := broken(t, got)
	require.Positive(t, n)
	require.LessOrEqual(t, n, failuresToEject+slots, "no more than the evidence wants and what was in flight")
	t.Logf("the target took %d tasks", n)
	judge(t, f.AllStarts(4), got)
	f.Stop("entry-1") // writes the part of the minute that has passed
	f.Restart("entry-1")
	f.Await("the day's report names the target", func() bool {
		return strings.Contains(command(f, "entry-1", "report"), "The target agent-2 failed everything")
	})
}

// A target that hangs keeps the tasks that it has started; what waited for it is placed elsewhere, and it comes back.
func TestTargetThatHangs(t *testing.T) {
	f := fleet.New(t, 1, 4)
	many := steady
	many.callers, many.workMS, many.life = 40, 100, 6*time.Second
	got := offer(f, t, many, func() {
		awaitWarm(f, 4)
		f.TargetFaults("target-2", `{"hang": true}`)
		awaitOut(f, "agent-2", hanging)
		f.TargetFaults("target-2", `{}`)
		awaitMore(f, "target-2", f.Starts("target-2").Total+50)
	})
	n := broken(t, got)
	require.Positive(t, n)
	require.LessOrEqual(t, n, slots)
	t.Logf("the target took %d tasks", n)
	judge(t, f.AllStarts(4), got)
}

// A kind that fails at every target is no target's fault.
func TestKindThatFailsEverywhere(t *testing.T) {
	f := fleet.New(t, 1, 4)
	mixed := steady
	mixed.kinds = []string{"sort", "compress"}
	failed := map[string]int{}
	warm := offer(f, t, mixed, func() { awaitWarm(f, 4) })
	requireAllComplete(t, warm)
	// Nothing is offered while the targets are set to fail, one after the other: a kind that fails at some of them only is
	// rightly held against these.
	for _, name := range fleet.Names("target", 4) {
		f.TargetFaults(name, `{"fail-kind": "compress"}`)
	}
	mixed.first = len(warm)
	got := offer(f, t, mixed, func() {
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

// When most targets fail, a third are out at most, and the entry goes on placing on the others.
func TestMostTargetsFail(t *testing.T) {
	const agents, atMost = 6, 2
	f := fleet.New(t, 1, agents)
	got := offer(f, t, steady, func() {
		awaitWarm(f, agents)
		for _, name := range fleet.Names("target", 4) {
			f.TargetFaults(name, `{"fail": true}`)
		}
		before, most := f.Starts("target-6").Total, 0
		f.Await("a third have been out, and the well targets get work", func() bool {
			s, ok := f.State("entry-1")
			most = max(most, len(s.Targets)-s.Usable())
			require.LessOrEqual(t, most, atMost)
			return ok && most == atMost && f.Starts("target-6").Total > before+200
		})
	})
	require.Positive(t, broken(t, got))
	judge(t, f.AllStarts(agents), got)
}

// The account of the day names a target whose agent died, also when its end was seen as the end of its connections.
func TestDeadAgentStandsInTheReport(t *testing.T) {
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

// What was withdrawn at a job's deadline before its start is no reason to take its target for one that hangs.
func TestWithdrawnTasksEjectNobody(t *testing.T) {
	f := fleet.New(t, 1, 2)
	body, deadline := job(t, "withdrawn", "sort", 3*slots, 1000, 600*time.Millisecond)
	_, r, _ := post(t, f, "entry-1", body, deadline)
	require.Equal(t, "failed", r.Outcome, r.Reason)
	require.Len(t, f.AllStarts(2), 2*slots, "the others were withdrawn")
	for range 30 {
		s, _ := f.State("entry-1")
		require.NotEqual(t, hanging, s.EjectReason("agent-1"))
		require.NotEqual(t, hanging, s.EjectReason("agent-2"))
		time.Sleep(100 * time.Millisecond)
	}
}
