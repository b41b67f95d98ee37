package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/route"
)

const (
	// leaseTime is the time after which an agent ends the runs of a silent target.
	leaseTime = 600 * time.Millisecond
	// callerDeadline is the deadline of the callers' jobs.
	callerDeadline = 1500 * time.Millisecond
	// maxTaskSilences is the number of targets that a task may make silent before it may no longer be started repeatedly.
	maxTaskSilences = 3
)

// silencedTargets counts the targets that a task makes silent, one after the other, until its job ends.
func silencedTargets(t *testing.T, h *harness, id string) int {
	t.Helper()
	rt := &route.Route{Name: "r", Service: "s", MaxAttempts: 3, BaseObjective: time.Second, Stretch: 2}
	h.submit(&batch.Batch{
		ID: id, Route: rt, Tasks: 1, Millicores: taskMillicores, MemoryMB: 1, Declared: 50 * time.Millisecond, Deadline: h.now.Add(callerDeadline),
	})
	first, silenced := len(h.starts)-1, 0
	for i := first; i >= 0 && i < len(h.starts) && !ended(h, id); i++ {
		silenced++
		st := idleState(1)
		st.Usable = false
		h.sched.UpdateTarget(h.now, h.startTargets[i], st)
		h.advance(leaseTime)
		h.endAttempt(h.startTargets[i], EndLapsed, i)
	}
	return silenced
}

// TestATaskMakesFewTargetsSilent measures how many targets one task can make silent within its job's deadline.
func TestATaskMakesFewTargetsSilent(t *testing.T) {
	h := newHarness()
	for i := range 11 {
		h.join(string(rune('a'+i)), 1)
	}
	silenced := silencedTargets(t, h, "j1")
	t.Logf("%d targets fell silent", silenced)
	require.LessOrEqual(t, silenced, maxTaskSilences)
	delete(h.outcomes, "j1")
	t.Logf("%d more as its caller sends it again", silencedTargets(t, h, "j1"))
}

func ended(h *harness, id string) bool {
	_, ok := h.outcomes[id]
	return ok
}
