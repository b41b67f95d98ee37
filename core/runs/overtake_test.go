package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAListThatMayBeOlderEndsNoRun guards against tasks that run twice: a target that has stalled answers a start and several polls within one
// tick of its clock, and a list from before the start is read after one that shows the run.
func TestAListThatMayBeOlderEndsNoRun(t *testing.T) {
	const clock = 482113
	g := newHarness(t)
	g.order(1, "a")
	g.advance(30 * time.Millisecond)
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.advance(time.Millisecond)
	sent := g.now
	g.advance(30 * time.Millisecond)
	born := g.runs.Instance().Born
	g.runs.Listed(g.now, &Listing{Born: born, Clock: clock, Sent: sent, Running: listedOne("a", 90)})
	g.runs.Listed(g.now, &Listing{Born: born, Clock: clock, Sent: sent})
	require.Equal(t, 1, g.runs.Len())
	require.Equal(t, []string{"start a/1"}, g.takeLog())
	sent = g.now
	g.advance(time.Millisecond)
	g.runs.Listed(g.now, &Listing{Born: born, Clock: clock, Sent: sent})
	require.Equal(t, []string{"ended e 1 lapsed"}, g.takeLog(), "it was requested after the list that shows the run had come")
}
