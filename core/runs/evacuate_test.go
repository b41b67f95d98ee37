package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/evac"
)

// evacuate sets whether a data centre is evacuated.
func (g *harness) evacuate(table *evac.Table, name string, offset int64, on bool) {
	_, err := table.Set(evac.Mark{DataCentre: name, Offset: offset, Evacuated: on})
	require.NoError(g.t, err)
	g.runs.EvacuationsChanged(g.now)
}

// TestNothingStartsInAnEvacuatedDataCentre guards against starts by the orders of an entry that hasn't heard of the evacuation, also of
// orders that waited for room when it began; what runs may end.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	g, table := newHarness(t), &evac.Table{}
	g.runs.SetEvacuations(table, "z")
	for i := range uint64(11) { // there is room for ten
		g.order(i+1, string(rune('a'+i)))
	}
	g.log = nil
	g.evacuate(table, "y", 1, true)
	require.True(t, g.runs.State(g.now, "e").Usable, "another data centre")
	g.evacuate(table, "z", 2, true)
	require.Equal(t, []string{"ended e 11 refused"}, g.log)
	require.False(t, g.runs.State(g.now, "e").Usable)
	require.Equal(t, 10, g.runs.Len(), "what runs goes on")
	g.order(12, "l")
	require.Equal(t, "ended e 12 refused", g.log[len(g.log)-1])
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	g.advance(10 * time.Millisecond)
	g.poll(nil, []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}})
	require.Equal(t, "ended e 1 done", g.log[len(g.log)-1])
	g.evacuate(table, "z", 3, false)
	g.order(13, "m")
	require.Equal(t, "start m/1", g.log[len(g.log)-1])
}

// TestTheDataCentreThatTheTargetAnnouncesCounts guards against a target that is started on because its agent's settings name another data
// centre, or whose next process has moved.
func TestTheDataCentreThatTheTargetAnnouncesCounts(t *testing.T) {
	g, table := newHarness(t), &evac.Table{}
	g.runs.SetEvacuations(table, "settings")
	g.evacuate(table, "moved", 1, true)
	require.True(t, g.runs.State(g.now, "e").Usable)
	for i := range int64(2) { // one announcement that contradicts the former ones is set aside
		next := newInstance("i-1", 5, 2+i)
		next.DataCentre = "moved"
		g.runs.Announced(g.now, next)
	}
	require.Equal(t, "moved", g.runs.State(g.now, "e").DataCentre)
	require.False(t, g.runs.State(g.now, "e").Usable)
	g.order(1, "a")
	require.Equal(t, []string{"ended e 1 refused"}, g.log)
	g.evacuate(table, "settings", 2, true)
	g.evacuate(table, "moved", 3, false)
	require.True(t, g.runs.State(g.now, "e").Usable)
}
