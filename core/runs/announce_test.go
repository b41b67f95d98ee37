package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newDraining(seq int64) *Instance {
	l := newInstance("i-1", 5, seq)
	l.Draining = true
	return l
}

// TestASequenceFarAheadDoesNotHideThatTheTargetDrains guards against starts on a draining target: another writer's heartbeat with a high
// sequence made all later ones of the target count as late.
func TestASequenceFarAheadDoesNotHideThatTheTargetDrains(t *testing.T) {
	g := newHarness(t)
	g.runs.Announced(g.now, newInstance("i-1", 5, 1_000_000))
	g.runs.Announced(g.now, newDraining(2))
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.takeLog())
	g.runs.Announced(g.now, newInstance("i-1", 5, 1))
	require.True(t, g.runs.Instance().Draining, "a late one")
}

// A capacity that was announced under a sequence far ahead lasts for one more heartbeat of the target.
func TestASequenceFarAheadDoesNotHideTheCapacityForLong(t *testing.T) {
	g := newHarness(t)
	foreign := newInstance("i-1", 5, 1_000_000)
	foreign.Millicores = 2 * capacity
	g.runs.Announced(g.now, foreign)
	g.runs.Announced(g.now, newInstance("i-1", 5, 2))
	g.runs.Announced(g.now, newInstance("i-1", 5, 3))
	require.Equal(t, uint64(capacity), g.runs.State(g.now, "e").Millicores)
	g.runs.Announced(g.now, newInstance("i-1", 5, 4))
	require.Equal(t, int64(4), g.runs.Instance().Sequence)
}

// TestOneAnnouncementDoesNotChangeTheKindOfATarget guards against tasks on the wrong targets through another writer's heartbeat in the
// name of a live one.
func TestOneAnnouncementDoesNotChangeTheKindOfATarget(t *testing.T) {
	g := newHarness(t)
	foreign := newLabelled(5, "b")
	foreign.Sequence = 9
	g.runs.Announced(g.now, foreign)
	require.Empty(t, g.runs.State(g.now, "e").Labels)
	g.runs.Announced(g.now, newInstance("i-1", 5, 2))
	require.Empty(t, g.runs.State(g.now, "e").Labels)
	again := newLabelled(5, "b")
	again.Sequence = 10
	g.runs.Announced(g.now, foreign)
	g.runs.Announced(g.now, again)
	require.Equal(t, []string{"b"}, g.runs.State(g.now, "e").Labels, "the first one was wrong")
}

// A draining target doesn't become ready again, unless it says so twice: then another writer said that it drains.
func TestOneAnnouncementDoesNotTakeBackThatATargetDrains(t *testing.T) {
	g := newHarness(t)
	g.runs.Announced(g.now, newDraining(2))
	g.runs.Announced(g.now, newInstance("i-1", 5, 3))
	require.False(t, g.runs.State(g.now, "e").Usable)
	g.runs.Announced(g.now, newInstance("i-1", 5, 4))
	require.True(t, g.runs.State(g.now, "e").Usable)
}

// A late announcement and one of another writer agree by chance.
func TestALateAnnouncementDoesNotHelpToTakeBackThatATargetDrains(t *testing.T) {
	g := newHarness(t)
	g.runs.Announced(g.now, newDraining(5))
	g.runs.Announced(g.now, newInstance("i-1", 5, 3))
	g.runs.Announced(g.now, newInstance("i-1", 5, 1_000_000))
	require.False(t, g.runs.State(g.now, "e").Usable)
}

// TestALeaveEndsNoRun guards against tasks that run twice after a leave that came late, from a former process under the same id, or from
// another writer.
func TestALeaveEndsNoRun(t *testing.T) {
	g := newBusyHarness(t)
	g.runs.TargetLeft(g.now)
	g.runs.Tick(g.now)
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.takeLog())
	g.poll(listedOne("a", 50), nil)
	require.False(t, g.runs.State(g.now, "e").Usable, "it may have answered just before its end")
	g.advance(leaveTime + 2*time.Millisecond)
	g.runs.RecordEcho("e", g.now)
	g.runs.ExtendLease(g.now)
	g.poll(listedOne("a", 90), nil)
	g.order(3, "b")
	require.Contains(t, g.takeLog(), "start b/1", "it hasn't ended")
}

func TestATargetThatLeftIsRemovedOnceItRefuses(t *testing.T) {
	g := newBusyHarness(t)
	g.runs.TargetLeft(g.now)
	g.refuseUntilLeaseEnds()
	require.Equal(t, []string{"ended e 1 lapsed"}, g.takeLog(), "it didn't crash")
	require.Nil(t, g.runs.Instance())
	g = newHarness(t)
	g.runs.TargetLeft(g.now)
	g.runs.TargetDown(g.now)
	require.Nil(t, g.runs.Instance())
	require.Empty(t, g.takeLog())
	g = newHarness(t)
	g.runs.TargetLeft(g.now)
	g.advance(extendWithin + time.Millisecond)
	g.runs.Tick(g.now)
	require.Nil(t, g.runs.Instance(), "it is silent")
}

// TestATargetThatDidNotLeaveStillDrains guards against starts on a draining target: after another writer's leave and a refused connection a
// late heartbeat was taken for that of a new target.
func TestATargetThatDidNotLeaveStillDrains(t *testing.T) {
	g := newHarness(t)
	g.runs.Announced(g.now, newDraining(5))
	g.runs.TargetLeft(g.now)
	g.runs.TargetDown(g.now)
	require.Nil(t, g.runs.Instance())
	g.runs.Announced(g.now, newInstance("i-1", 5, 3))
	g.poll(nil, nil)
	require.False(t, g.runs.State(g.now, "e").Usable)
}
