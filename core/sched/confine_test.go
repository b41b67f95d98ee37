package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/crash"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
)

// crashGap is the time from one crash under a task to the next one: it is noticed, and the task started elsewhere.
const crashGap = 20 * time.Millisecond

// confinedHarness is a harness with six targets and two active routes, of which "bad" is confined to t0, t1 and t2.
type confinedHarness struct {
	*harness
	routes  map[string]*route.Route
	reports int64
}

func newConfinedHarness(t *testing.T) *confinedHarness {
	h := &confinedHarness{harness: newHarness(), routes: map[string]*route.Route{}}
	for _, name := range []string{"bad", "good"} {
		h.routes[name] = &route.Route{Name: name, Service: "s", MaxAttempts: 3, BaseObjective: time.Second, Stretch: 2}
	}
	for i := range 6 {
		h.join(fmt.Sprint("t", i), 1)
	}
	h.submitTo("bad", "b0", 1)
	h.submitTo("good", "g0", 1)
	for i := range h.starts {
		h.endAttempt(h.startTargets[i], EndDone, i)
	}
	for i := range 4 {
		h.crash(fmt.Sprint("t", i%3), fmt.Sprint("x", i/2, ".0.0.0"))
	}
	require.True(t, h.sched.confined["bad"])
	require.False(t, h.sched.confined["good"])
	h.starts, h.startTargets = nil, nil
	return h
}

// crash reports a crash of a target under a task of the route "bad", crashGap after the last one.
func (h *confinedHarness) crash(target, task string) {
	h.reports++
	h.now = h.now.Add(crashGap)
	h.sched.Crashed(h.now, target, &crash.Report{
		ID: h.reports, At: h.now, Tasks: []crash.Task{{Name: task, Route: "bad", Ran: 10 * time.Millisecond}},
	})
}

func (h *confinedHarness) submitTo(route, id string, tasks int) {
	h.submit(&batch.Batch{
		ID: id, Route: h.routes[route], Tasks: tasks, Millicores: taskMillicores, MemoryMB: 1, Declared: 50 * time.Millisecond,
		Deadline: h.now.Add(1500 * time.Millisecond),
	})
}

func (h *confinedHarness) setUsable(usable bool, targets ...string) {
	for _, name := range targets {
		st := idleState(1)
		st.Usable = usable
		h.sched.UpdateTarget(h.now, name, st)
	}
}

func TestAConfinedRouteAndTheOthersUseSeparateTargets(t *testing.T) {
	h := newConfinedHarness(t)
	h.submitTo("bad", "b1", 20)
	h.submitTo("good", "g1", 20)
	require.Len(t, h.starts, 40)
	for i, s := range h.starts {
		isolated := h.startTargets[i] == "t0" || h.startTargets[i] == "t1" || h.startTargets[i] == "t2"
		require.Equal(t, s.Route == "bad", isolated, "%s at %s", s.Task, h.startTargets[i])
	}
}

func TestAConfinedRouteIsRefusedAtOnceWhileItsTargetsAreDown(t *testing.T) {
	h := newConfinedHarness(t)
	h.setUsable(false, "t0", "t1", "t2")
	h.submitTo("bad", "b1", 1)
	require.Equal(t, jobend.Refused, h.outcomes["b1"].Kind)
	require.Equal(t, Confined, h.outcomes["b1"].Reason)
	h.submitTo("good", "g1", 1)
	require.Len(t, h.starts, 1)
}

// TestASuspectOfAConfinedRouteTakesNoFurtherTarget guards against one job that takes down all targets of its route in turn, so that
// no other job of the route is served.
func TestASuspectOfAConfinedRouteTakesNoFurtherTarget(t *testing.T) {
	h := newConfinedHarness(t)
	h.submitTo("bad", "b1", 1)
	h.crash(h.startTargets[0], h.starts[0].Task)
	h.setUsable(false, "t0", "t1")
	h.endAttempt(h.startTargets[0], EndCrashed, 0)
	require.Len(t, h.starts, 1)
	h.advance(10 * time.Millisecond)
	require.Equal(t, jobend.Unfinished, h.outcomes["b1"].Kind)
}

func TestASuspectIsAttemptedAgainWhileMostTargetsAreUp(t *testing.T) {
	h := newConfinedHarness(t)
	h.submitTo("bad", "b1", 1)
	h.crash(h.startTargets[0], h.starts[0].Task)
	h.setUsable(false, h.startTargets[0])
	h.endAttempt(h.startTargets[0], EndCrashed, 0)
	require.Len(t, h.starts, 2)
	h.crash(h.startTargets[1], h.starts[1].Task)
	h.endAttempt(h.startTargets[1], EndCrashed, 1)
	require.Equal(t, jobend.Failed, h.outcomes["b1"].Kind)
	require.Equal(t, Crashing, h.outcomes["b1"].Reason)
}

// TestAResubmittedJobThatCrashedTargetsFailsAtOnce covers a job whose entry was lost; its caller sends it to another one.
func TestAResubmittedJobThatCrashedTargetsFailsAtOnce(t *testing.T) {
	h := newConfinedHarness(t)
	h.crash("t0", "b1.0.0.1")
	h.crash("t1", "b1.0.0.1")
	h.submitTo("bad", "b1", 2)
	require.Empty(t, h.starts)
	require.Equal(t, jobend.Failed, h.outcomes["b1"].Kind)
}

// TestEveryRouteKeepsATarget covers fleets that are small for their routes: with fewer targets than routes none is confined, else each
// confined route and the others together have at least one target.
func TestEveryRouteKeepsATarget(t *testing.T) {
	for targets := 1; targets <= 7; targets++ {
		for routes := 1; routes <= 5; routes++ {
			for confined := 1; confined <= routes; confined++ {
				h := newHarness()
				for i := range targets {
					h.join(fmt.Sprint("t", i), 1)
				}
				requireTargetForEach(t, h, targets, routes, confined)
			}
		}
	}
}

func requireTargetForEach(t *testing.T, h *harness, targets, routes, confined int) {
	for r := range routes {
		name := fmt.Sprint("r", r)
		h.sched.services[name] = "s"
		h.sched.shares.arrived(h.now, name, 1)
	}
	for r := range confined {
		if name := fmt.Sprint("r", r); h.sched.isolate(name) {
			h.sched.confined[name] = true
		}
	}
	for r := range routes {
		rt := &route.Route{Name: fmt.Sprint("r", r), Service: "s"}
		j := &job{batch: &batch.Batch{Route: rt, Millicores: 1, MemoryMB: 1}}
		require.True(t, slices.ContainsFunc(h.sched.targets, func(to *target) bool { return h.sched.serves(j, to) }),
			"%d targets, %d routes, %d confined: route %d", targets, routes, confined, r)
	}
}

// TestAConfinedRouteWithoutJobsTakesNoTargets covers a route whose deadly jobs were its last ones.
func TestAConfinedRouteWithoutJobsTakesNoTargets(t *testing.T) {
	h := newConfinedHarness(t)
	delete(h.sched.shares.demand, "bad")
	h.advance(10 * time.Millisecond)
	require.Empty(t, h.sched.confined)
	h.submitTo("bad", "b1", 20)
	require.True(t, h.sched.confined["bad"], "again from its first job on")
	for _, name := range h.startTargets {
		require.Contains(t, []string{"t0", "t1", "t2"}, name)
	}
}
