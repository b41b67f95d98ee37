package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBusyHarness returns a harness with one accepted run of task a.
func newBusyHarness(t *testing.T) *harness {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(time.Microsecond)
	g.takeLog()
	return g
}

func newOtherInstance(born int64) *Instance {
	l := newInstance("i-2", born, 1)
	l.Addr = "10.0.0.9:80"
	return l
}

// TestAnAnnouncementEndsNoRun guards against tasks that run twice: an announcement of another writer, or a late one, was taken for a new
// process of the target, whose runs were reported as ended while they went on.
func TestAnAnnouncementEndsNoRun(t *testing.T) {
	for name, announced := range map[string]*Instance{
		"another process": newOtherInstance(9), "earlier process": newOtherInstance(3), "same address": newInstance("i-2", 9, 1),
		"same id": newInstance("i-1", 9, 1),
	} {
		g := newBusyHarness(t)
		require.False(t, g.runs.Announced(g.now, announced), name)
		require.Same(t, announced, g.runs.Successor(), name)
		g.advance(10 * time.Millisecond)
		g.poll(listedOne("a", 10), nil)
		g.runs.Tick(g.now)
		g.order(2, "b")
		require.Equal(t, []string{"start b/1"}, g.takeLog(), name)
		g.runs.Announced(g.now, announced)
		require.False(t, g.runs.Identified(g.now, announced, &Listing{Born: 77, Sent: g.now}), "%s: another process answers at its address", name)
		require.Nil(t, g.runs.Successor(), name)
		require.Empty(t, g.takeLog(), name)
		g.runs.Announced(g.now, announced)
		g.advance(successorTimeout + time.Millisecond)
		g.runs.Tick(g.now)
		require.Nil(t, g.runs.Successor(), "%s: it never answered", name)
	}
}

// TestALiveTargetIsNotReplaced guards against two runs of a task where another process of the announced kind does answer.
func TestALiveTargetIsNotReplaced(t *testing.T) {
	g := newBusyHarness(t)
	other := newOtherInstance(9)
	g.runs.Announced(g.now, other)
	require.False(t, g.runs.Identified(g.now, other, &Listing{Born: 9, Sent: g.now}))
	for range 20 {
		g.advance(50 * time.Millisecond)
		g.runs.RecordEcho("e", g.now)
		g.runs.ExtendLease(g.now)
		g.poll(listedOne("a", 10), nil)
		g.runs.Tick(g.now)
	}
	for _, effect := range g.takeLog() {
		require.Contains(t, effect, "forecast", "it neither ends nor is stopped")
	}
	require.Equal(t, "i-1", g.runs.Instance().ID)
}

// The lease of the present process has to end first, as it may go on behind a broken path.
func TestASilentTargetIsReplacedAfterItsLease(t *testing.T) {
	g := newBusyHarness(t)
	other := newOtherInstance(9)
	for elapsed := time.Duration(0); elapsed <= Lease; elapsed += 20 * time.Millisecond {
		g.runs.RecordEcho("e", g.now)
		g.runs.Announced(g.now, other)
		g.runs.Identified(g.now, other, &Listing{Born: 9, Sent: g.now})
		g.runs.Tick(g.now)
		require.Empty(t, g.takeLog())
		require.Equal(t, "i-1", g.runs.Instance().ID)
		g.advance(20 * time.Millisecond)
	}
	g.runs.Tick(g.now)
	require.Equal(t, []string{"ended e 1 lapsed"}, g.takeLog())
	require.Equal(t, "i-2", g.runs.Instance().ID)
	require.False(t, g.runs.Clean(), "its list has not been seen")
}

// TestATargetThatNeverAnsweredIsReplacedAtOnce guards against a target that isn't used for long, since another writer's announcement
// came first.
func TestATargetThatNeverAnsweredIsReplacedAtOnce(t *testing.T) {
	g := &harness{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	g.runs.Announced(g.now, newOtherInstance(9))
	real := newInstance("i-1", 5, 1)
	g.runs.Announced(g.now, real)
	require.True(t, g.runs.Identified(g.now, real, &Listing{Born: 5, Sent: g.now}))
	g.poll(nil, nil)
	require.True(t, g.runs.Clean())
}
