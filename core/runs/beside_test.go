package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/pairs"
)

func (g *harness) orderOf(attempt uint64, task, route string) {
	g.runs.Order(g.now, "e", &Order{
		Attempt: attempt, Task: task, Route: route, Number: 1, Millicores: need, MemoryMB: 1, Expected: 100 * time.Millisecond,
	})
	g.runs.StartAnswered(g.now, Key{task, 1}, Accepted, "")
}

func (g *harness) end(index int64, task, how string) {
	var running []Progress
	for k := range g.runs.runs {
		if k.Task != task {
			running = append(running, Progress{Key: k, Percent: 50})
		}
	}
	g.poll(running, []Finish{{Key: Key{task, 1}, Index: index, How: how}})
}

// TestWhatRanBesideIsAveragedOverTheRun guards against pairs that are learned from runs that hardly met: b ends after a quarter of a, two of c
// begin after half of it, and one of them ends with it.
func TestWhatRanBesideIsAveragedOverTheRun(t *testing.T) {
	g := newHarness(t)
	g.runs.RecordNeighbours()
	g.orderOf(1, "b-1", "b")
	g.advance(100 * time.Millisecond)
	g.orderOf(2, "a-1", "a")
	g.advance(50 * time.Millisecond)
	g.end(1, "b-1", done)
	g.advance(50 * time.Millisecond)
	g.orderOf(3, "c-1", "c")
	g.orderOf(4, "c-2", "c")
	c := pairs.KindOf("c")
	require.Equal(t, []pairs.Kind{c, c}, g.runs.Kinds([]pairs.Kind{c, pairs.KindOf("b")}))
	require.Empty(t, g.runs.Kinds(nil))
	g.advance(100 * time.Millisecond)
	g.end(2, "a-1", done)
	require.Equal(t, []pairs.Share{{Kind: c, Runs: 1}, {Kind: pairs.KindOf("b"), Runs: 0.25}}, g.runs.Beside("e", 2))
	require.Empty(t, g.runs.Beside("other", 2))
	g.end(3, "c-1", "failed")
	require.Empty(t, g.runs.Beside("e", 3))
	g.end(4, "c-2", done)
	require.Len(t, g.runs.Beside("e", 4), 2)
	require.Len(t, g.runs.recent, 0)
}

// TestNothingIsRecordedUnlessAsked guards against work at every target of a platform on which tasks don't slow each other down.
func TestNothingIsRecordedUnlessAsked(t *testing.T) {
	g := newHarness(t)
	g.orderOf(1, "a-1", "a")
	g.orderOf(2, "b-1", "b")
	g.advance(100 * time.Millisecond)
	g.end(1, "a-1", done)
	require.Empty(t, g.runs.Beside("e", 1))
	require.Empty(t, g.runs.recent)
}
