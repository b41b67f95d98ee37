package blame

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/crash"
)

var start = time.Unix(1000, 0)

// report returns a report of a crash at a time, in ms after start, under tasks that ran for 50 ms but for the first one, the cause.
func report(ms int, cause string, others ...string) *crash.Report {
	r := &crash.Report{ID: int64(ms), At: start.Add(time.Duration(ms) * time.Millisecond)}
	r.Tasks = append(r.Tasks, crash.Task{Name: cause, Route: cause[:1], Ran: 10 * time.Millisecond})
	for _, name := range others {
		r.Tasks = append(r.Tasks, crash.Task{Name: name, Route: name[:1], Ran: 50 * time.Millisecond})
	}
	return r
}

// deadlyReports are crashes under two tasks of route a, each at two targets, among tasks of other routes.
func deadlyReports() map[string]*crash.Report {
	return map[string]*crash.Report{
		"t1": report(0, "a1", "b1", "b2", "c1"),
		"t2": report(20, "a1", "b3", "b4", "a3"),
		"t3": report(40, "a2", "b1", "b5", "c2"),
		"t4": report(60, "a2", "b6", "c3", "c4"),
	}
}

func TestATaskUnderWhichTwoTargetsCrashedIsProven(t *testing.T) {
	b := New()
	reports := deadlyReports()
	b.Add("t1", reports["t1"])
	require.False(t, b.Proven("a1"))
	b.Add("t2", reports["t2"])
	require.True(t, b.Proven("a1"))
	require.False(t, b.Proven("b1"))
	require.Empty(t, b.Confined(), "one task alone doesn't confine its route")
}

func TestATaskBesideTheCauseIsProvenOnlyAfterThreeCrashes(t *testing.T) {
	b := New()
	for i := range maxCrashes {
		require.False(t, b.Proven("b1"))
		b.Add(fmt.Sprint("t", i), report(20*i, fmt.Sprint("a", i), "b1"))
	}
	require.True(t, b.Proven("b1"))
}

func TestARouteIsConfinedUntilItsBlameHasDecayed(t *testing.T) {
	b := New()
	for _, target := range []string{"t1", "t2", "t3", "t4"} {
		b.Add(target, deadlyReports()[target])
	}
	require.Equal(t, []string{"a"}, b.Confined())
	b.Expire(start.Add(3 * time.Second))
	require.Equal(t, []string{"a"}, b.Confined())
	b.Expire(start.Add(10 * time.Second))
	require.Empty(t, b.Confined())
}

// TestTargetsThatCrashTogetherConfineNoRoute covers a rack that loses power: no task is in two crashes.
func TestTargetsThatCrashTogetherConfineNoRoute(t *testing.T) {
	b := New()
	for i := range 30 {
		b.Add(fmt.Sprint("t", i), report(i, fmt.Sprint("a", i), fmt.Sprint("b", i)))
	}
	require.Empty(t, b.Confined())
}

// TestEntriesInferTheSameWhateverTheOrderOfTheReports covers an entry that was started after the crashes and gets the reports from
// each agent as it connects.
func TestEntriesInferTheSameWhateverTheOrderOfTheReports(t *testing.T) {
	reports := deadlyReports()
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		b := New()
		names := []string{"t1", "t2", "t3", "t4", "t1"}
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		added := 0
		for _, name := range names {
			if b.Add(name, reports[name]) {
				added++
			}
		}
		require.Equal(t, 4, added)
		require.Equal(t, []string{"a"}, b.Confined())
		require.True(t, b.Proven("a2"))
		at, ok := b.FirstCrash("t3")
		require.True(t, ok)
		require.Equal(t, reports["t3"].At, at)
	}
}

func TestOldCrashesAreForgotten(t *testing.T) {
	b := New()
	b.Add("t1", report(0, "a1"))
	b.Expire(start.Add(retention + forgetPeriod + time.Millisecond))
	require.Zero(t, b.Crashes("a1"))
	_, ok := b.FirstCrash("t1")
	require.False(t, ok)
}

// TestTasksBesideTheCauseDontConfineTheirRoute covers a fleet in which most tasks were in a crash before: those of the busiest
// route, retried at once, are at the next crash again, after another run time than before.
func TestTasksBesideTheCauseDontConfineTheirRoute(t *testing.T) {
	b := New()
	for i := range 6 {
		r := report(20*i, fmt.Sprint("a", i/2))
		for k := range 3 {
			ran := []time.Duration{5, 25, 125}[(i+k)%3] * time.Millisecond
			r.Tasks = append(r.Tasks, crash.Task{Name: fmt.Sprint("b", k), Route: "b", Ran: ran})
		}
		b.Add(fmt.Sprint("t", i), r)
	}
	require.NotContains(t, b.Confined(), "b")
}

// BenchmarkAdd measures a further report at a fleet in which many crashes are remembered.
func BenchmarkAdd(b *testing.B) {
	blame := New()
	for i := range b.N {
		r := report(i, fmt.Sprint("a", i))
		for k := range 11 {
			r.Tasks = append(r.Tasks, crash.Task{Name: fmt.Sprint("b", i, k), Route: "b", Ran: 50 * time.Millisecond})
		}
		blame.Add("t", r)
	}
}

// TestATaskMovedBetweenTargetsOfARackIsInOneCrash covers a rack whose crashes are noticed one after the other: a task of the first
// target is ordered at the second one, which is down already, and is the youngest there.
func TestATaskMovedBetweenTargetsOfARackIsInOneCrash(t *testing.T) {
	b := New()
	b.Add("t1", report(0, "a1", "b1", "b2"))
	b.Add("t2", report(4, "a1", "b3"))
	b.Add("t3", report(8, "a1"))
	require.Equal(t, 1, b.Crashes("a1"))
	require.False(t, b.Proven("a1"))
}

// TestATaskThatRanLongerUpToItsSecondCrashIsNotProven covers a task whose target crashes by itself, twice, while it runs nothing else.
func TestATaskThatRanLongerUpToItsSecondCrashIsNotProven(t *testing.T) {
	b := New()
	b.Add("t1", &crash.Report{ID: 1, At: start, Tasks: []crash.Task{{Name: "a1", Route: "a", Ran: 10 * time.Millisecond}}})
	second := &crash.Report{ID: 2, At: start.Add(time.Second), Tasks: []crash.Task{{Name: "a1", Route: "a", Ran: 400 * time.Millisecond}}}
	b.Add("t2", second)
	require.Equal(t, 2, b.Crashes("a1"))
	require.False(t, b.Proven("a1"))
}

// TestATaskIsNotBlamedForACrashThatIdleTargetsShare guards against a sound job that is given up after two crashes of racks of which it
// was the only task.
func TestATaskIsNotBlamedForACrashThatIdleTargetsShare(t *testing.T) {
	b := New()
	idle := func(ms int) *crash.Report {
		return &crash.Report{ID: int64(ms), At: start.Add(time.Duration(ms) * time.Millisecond)}
	}
	b.Add("t1", report(0, "a1"))
	b.Add("t2", idle(4))
	b.Add("t3", report(100, "a1"))
	require.False(t, b.Proven("a1"), "one crash of its own")
	require.Equal(t, 2, b.Crashes("a1"))
	b.Add("t4", idle(150))
	b.Add("t5", report(200, "a1"))
	require.True(t, b.Proven("a1"), "three crashes, whatever their cause")
	b = New()
	b.Add("t1", report(0, "a1"))
	b.Add("t2", idle(50))
	b.Add("t3", report(100, "a1"))
	require.True(t, b.Proven("a1"), "two crashes of its own")
}
