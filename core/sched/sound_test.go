package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/jobend"
)

// TestJobsAreKeptFromTargetsThatFailMostRuns guards against jobs that fail with their attempts used up: a target that fails most of what it
// runs stays connected, has the most room, as its runs end soon, and an entry alone needs several failures on each such target to see it.
func TestJobsAreKeptFromTargetsThatFailMostRuns(t *testing.T) {
	const targets, failing, jobs, tasks = 20, 4, 400, 8
	h := newHarness()
	for i := range targets {
		h.join(fmt.Sprint("t", i), 1)
		st := idleState(1)
		if i < failing {
			st.Failing = 0.875
		}
		h.sched.UpdateTarget(h.now, fmt.Sprint("t", i), st)
	}
	failed, ended := 0, 0
	for k := range jobs {
		id := fmt.Sprint(k)
		h.submit(h.batch(id, tasks, 60*time.Millisecond))
		for ended < len(h.starts) {
			how := EndDone
			for i := range failing {
				if h.startTargets[ended] == fmt.Sprint("t", i) {
					how = EndFailed
				}
			}
			st := h.sched.byName[h.startTargets[ended]].state
			st.Seen = h.starts[ended].Attempt
			h.sched.UpdateTarget(h.now, h.startTargets[ended], st)
			h.endAttempt(h.startTargets[ended], how, ended)
			ended++
		}
		if h.outcomes[id].Kind == jobend.Failed {
			failed++
		}
		h.advance(tickPeriod)
	}
	require.Zero(t, failed, "of %d jobs", jobs)
}

// TestALastAttemptWaitsForATargetThatFailsNothing covers a fleet in which only a failing target has room.
func TestALastAttemptWaitsForATargetThatFailsNothing(t *testing.T) {
	h := newHarness()
	h.join("failing", 1)
	h.join("sound", 1)
	h.submit(h.batch("1", 1, 60*time.Millisecond))
	h.endAttempt(h.startTargets[0], EndFailed, 0)
	st := idleState(1)
	st.Failing = 0.5
	other := map[string]string{"failing": "sound", "sound": "failing"}[h.startTargets[1]]
	h.sched.UpdateTarget(h.now, h.startTargets[1], st)
	full := usedState(10, h.sched.lastAttempt)
	h.sched.UpdateTarget(h.now, other, full)
	h.endAttempt(h.startTargets[1], EndNoRoom, 1)
	require.Len(t, h.starts, 2, "the failing target is the only one with room")
	h.sched.UpdateTarget(h.now, other, idleState(1))
	require.Len(t, h.starts, 3)
	require.Equal(t, other, h.startTargets[2])
}

// TestALastAttemptIsMadeWhereItCanBe covers a target that fails nothing and must not be used again for the task, as its agent has refused
// it: the task waited for that target until its deadline, and kept others from the idle ones.
func TestALastAttemptIsMadeWhereItCanBe(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.join("b", 1)
	h.submit(h.batch("1", 1, 60*time.Millisecond))
	failing := h.startTargets[0]
	st := idleState(1)
	st.Failing = 0.25
	h.sched.UpdateTarget(h.now, failing, st)
	h.endAttempt(failing, EndFailed, 0)
	require.Len(t, h.starts, 2)
	require.NotEqual(t, failing, h.startTargets[1])
	h.endAttempt(h.startTargets[1], EndRefused, 1)
	require.Len(t, h.starts, 3)
	require.Equal(t, failing, h.startTargets[2])
}
