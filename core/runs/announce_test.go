package runs

import (
	"testing"

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
