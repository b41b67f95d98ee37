package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const term = 300 * time.Millisecond

func (g *harness) orderWithTerm() {
	g.runs.Order(g.now, "e", &Order{Attempt: 1, Task: "a", Number: 1, Millicores: need, MemoryMB: 1, Expected: time.Second, StopBy: g.now.Add(term)})
}

// keepOwner lets time pass while the owner answers heartbeats and the target lists the run.
func (g *harness) keepOwner(d time.Duration) {
	const period = 20 * time.Millisecond
	for range d / period {
		g.advance(period)
		g.runs.RecordEcho("e", g.now)
		g.poll(listedOne("a", 1), nil)
		g.runs.Tick(g.now)
	}
}

// TestARunEndsByTheTermOfItsOrder guards against double runs: an owner whose stop doesn't arrive promised other entries that its runs have
// ended by then.
func TestARunEndsByTheTermOfItsOrder(t *testing.T) {
	g := newHarness(t)
	g.orderWithTerm()
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.keepOwner(term - 20*time.Millisecond)
	require.Equal(t, []string{"start a/1"}, g.takeLog())
	g.keepOwner(40 * time.Millisecond)
	require.Equal(t, []string{"stop a/1"}, g.takeLog())
	_, extended := g.runs.ExtendLease(g.now)
	require.True(t, extended, "the target has stopTime to confirm")
	g.keepOwner(stopTime + 20*time.Millisecond)
	_, extended = g.runs.ExtendLease(g.now)
	require.False(t, extended, "the lease of a target that doesn't confirm the stop ends")
}

// TestAnOrderThatWaitsPastItsTermIsRefused guards against runs that begin when another entry may have their job.
func TestAnOrderThatWaitsPastItsTermIsRefused(t *testing.T) {
	g := newHarness(t)
	g.runs.Order(g.now, "e", &Order{Attempt: 1, Task: "a", Number: 1, Millicores: need, MemoryMB: 1, StopBy: g.now})
	require.Equal(t, []string{"ended e 1 refused"}, g.takeLog())
}
