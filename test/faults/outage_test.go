package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// submitInTurn submits n jobs one after another, round robin over the entries, and returns their outcomes.
func submitInTurn(f *fleet.Fleet, t *testing.T, prefix string, n int, life time.Duration, entries ...string) []outcome {
	t.Helper()
	var all []outcome
	for i := range n {
		o := outcome{id: fmt.Sprintf("%s-%d", prefix, i), tasks: 2}
		body, deadline := job(t, o.id, "sort", o.tasks, 10, life)
		r, err := submitOnce(f, entries[i%len(entries)], body, deadline)
		require.NoError(t, err)
		o.answers = append(o.answers, r)
		all = append(all, o)
	}
	return all
}

// submitAtOnce is like submitInTurn, but submits all jobs concurrently.
func submitAtOnce(f *fleet.Fleet, t *testing.T, prefix string, n int, life time.Duration, entries ...string) []outcome {
	t.Helper()
	all := make([]outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		body, deadline := job(t, fmt.Sprintf("%s-%d", prefix, i), "sort", 2, 10, life)
		wg.Go(func() {
			o := outcome{id: fmt.Sprintf("%s-%d", prefix, i), tasks: 2}
			r, err := submitOnce(f, entries[i%len(entries)], body, deadline)
			if err == nil {
				o.answers = append(o.answers, r)
			}
			all[i] = o
		})
	}
	wg.Wait()
	for _, o := range all {
		require.Len(t, o.answers, 1, "%s has no answer", o.id)
	}
	return all
}

// While the log is down the owners must go on. Jobs of an entry that dies meanwhile must not be answered "not run", and its
// shards must be served again when the log is back.
func TestLogOutageWithAnOwnersDeath(t *testing.T) {
	f := fleet.New(t, 3, chaosAgents)
	f.LogFaults(`{"down": true}`)
	all := submitInTurn(f, t, "down", 40, lifetime, "entry-1", "entry-2", "entry-3")
	requireAllComplete(t, all)

	f.Kill("entry-3")
	unknown := 0
	for _, o := range submitAtOnce(f, t, "dead", 60, 1500*time.Millisecond, "entry-1", "entry-2") {
		r := o.answers[0]
		require.Contains(t, []string{"complete", "unknown"}, r.Outcome, r.Reason)
		require.Nil(t, r.NotRun)
		if r.Outcome == "unknown" {
			unknown++
		}
		all = append(all, o)
	}
	require.Positive(t, unknown, "no job belonged to the dead entry")

	f.LogFaults(`{"down": false}`)
	f.Await("the dead entry is out of the map", func() bool {
		s, ok := f.State("entry-1")
		return ok && len(s.Map.Members) == 2
	})
	after := submitInTurn(f, t, "back", 40, lifetime, "entry-1", "entry-2")
	requireAllComplete(t, after)
	checkOutcomes(t, f.AllStarts(chaosAgents), append(all, after...))
}

// The log loses the answers to appends, which are then found by their ids. The map must advance, and no takeover may be done
// twice.
func TestLostAnswersOfTheLog(t *testing.T) {
	f := fleet.New(t, 3, chaosAgents)
	f.LogFaults(`{"lose-answers": 2}`)
	f.Kill("entry-3")
	f.Await("the dead entry is out of the map", func() bool {
		s, ok := f.State("entry-1")
		return ok && len(s.Map.Members) == 2
	})
	all := submitInTurn(f, t, "lost", 40, lifetime, "entry-1", "entry-2")
	requireAllComplete(t, all)
	checkOutcomes(t, f.AllStarts(chaosAgents), all)
}

// An owner that is frozen until its shards are taken over, and then continues, must not start any task twice.
func TestFrozenOwnerIsTakenOverAndGoesOn(t *testing.T) {
	f := fleet.New(t, 3, chaosAgents)
	got := underLoad(f, t, []string{"entry-1", "entry-2"}, func() {
		time.Sleep(500 * time.Millisecond)
		f.Freeze("entry-3")
		f.Await("the frozen entry is out of the map", func() bool {
			s, ok := f.State("entry-1")
			return ok && len(s.Map.Members) == 2
		})
		f.Thaw("entry-3")
		f.Await("the entry is back in the map", func() bool {
			s, ok := f.State("entry-1")
			return ok && len(s.Map.Members) == 3
		})
		time.Sleep(time.Second)
	})
	requireAllComplete(t, got)
	checkOutcomes(t, f.AllStarts(chaosAgents), got)
}

// A job of the largest size loses a target while it runs. It must fail as a whole, without partial results.
func TestAgentKilledInTheMiddleOfAJob(t *testing.T) {
	f := fleet.New(t, 2, 2)
	body, deadline := job(t, "middle", "sort", 160, 200, 4*time.Second)
	answered := make(chan reply, 1)
	go func() {
		r, err := submitOnce(f, "entry-1", body, deadline)
		if err != nil {
			r.Outcome = err.Error()
		}
		answered <- r
	}()
	f.Await("tasks are running", func() bool { return len(f.AllStarts(2)) > 20 })
	f.Kill("agent-1")
	r := <-answered
	require.Equal(t, "failed", r.Outcome, r.Reason)
	require.Empty(t, r.Results)
	require.NotNil(t, r.NotRun)
	require.False(t, *r.NotRun)
	for task, n := range f.AllStarts(2) {
		require.Equal(t, 1, n, task)
	}
}

// A task that still runs at its deadline must fail with the cause deadline, not as a failure of its target.
func TestTaskRunsPastItsDeadline(t *testing.T) {
	f := fleet.New(t, 1, 1)
	for i := range 5 {
		body, deadline := job(t, fmt.Sprintf("past-%d", i), "sort", 1, 5000, time.Second)
		_, r, _ := post(t, f, "entry-1", body, deadline)
		require.Equal(t, "failed", r.Outcome)
		require.Equal(t, "deadline", r.Cause, r.Reason)
	}
}

// A target's answer is truncated. The job must fail, and the partial answer must not count as a whole one.
func TestTargetAnswerCutShort(t *testing.T) {
	f := fleet.New(t, 1, 1)
	f.TargetFaults("target-1", `{"cut-answers": 1}`)
	body, deadline := job(t, "short", "sort", 1, 1, lifetime)
	_, r, _ := post(t, f, "entry-1", body, deadline)
	require.Equal(t, "failed", r.Outcome)
	require.Contains(t, r.Reason, "no whole answer")
	_, again, _ := post(t, f, "entry-1", body, deadline)
	require.Equal(t, r, again)
	require.Equal(t, map[string]int{"kits/short/0": 1}, f.AllStarts(1))
}
