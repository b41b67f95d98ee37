package subset

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const step = 20 * time.Millisecond

// fleet simulates agents that connect to entries, some of which don't answer.
type fleet struct {
	now     time.Time
	agents  []*Subset
	entries []string
	dead    map[string]bool
}

func newFleet(agents, entries int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), dead: map[string]bool{}}
	for i := range entries {
		f.entries = append(f.entries, fmt.Sprintf("10.0.%d.%d:77", i/50, i))
	}
	for i := range agents {
		a := New(fmt.Sprintf("side-%d", i))
		for _, e := range f.entries {
			a.Add(e)
		}
		f.agents = append(f.agents, a)
	}
	return f
}

// run lets the agents connect to their selected entries and close surplus connections for a time span.
func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		for _, a := range f.agents {
			a.Choose(f.now)
			for _, e := range f.entries {
				switch {
				case f.dead[e] || a.Surplus(f.now, e):
					a.Down(f.now, e)
				case a.Selected(e):
					a.Up(e)
				}
			}
		}
	}
}

// degrees returns the number of connected agents of each live entry.
func (f *fleet) degrees() map[string]int {
	n := map[string]int{}
	for _, e := range f.entries {
		for _, a := range f.agents {
			if a.byAddr[e].up && !f.dead[e] {
				n[e]++
			}
		}
	}
	return n
}

// kill stops every stride-th entry, beginning with from.
func (f *fleet) kill(from, stride int) {
	for i := from; i < len(f.entries); i += stride {
		f.dead[f.entries[i]] = true
	}
}

func (f *fleet) requireEven(t *testing.T, mean int) {
	t.Helper()
	for e, n := range f.degrees() {
		require.Greater(t, n, mean*3/5, "agents of %s", e)
		require.Less(t, n, mean*8/5, "agents of %s", e)
	}
}

func TestSmallFleetIsFullyConnected(t *testing.T) {
	f := newFleet(11, 3)
	f.run(time.Second)
	for _, e := range f.entries {
		require.Equal(t, 11, f.degrees()[e])
	}
}

func TestTargetsSpreadEvenlyOverTheEntriesOfALargeFleet(t *testing.T) {
	f := newFleet(240, 55)
	f.run(time.Second)
	f.requireEven(t, 240*subsetSize/55)
	for _, a := range f.agents {
		n := 0
		for _, m := range a.members {
			if m.up {
				n++
			}
		}
		require.Equal(t, subsetSize, n)
	}
}

// TestAgentsOfLostEntriesConnectToOthers stops half of the entries, then all but one, and then starts all of them again.
func TestAgentsOfLostEntriesConnectToOthers(t *testing.T) {
	f := newFleet(240, 55)
	f.run(time.Second)
	f.kill(0, 2)
	f.run(4 * connectGrace)
	f.requireEven(t, 240*subsetSize/27)
	for i := range len(f.entries) - 1 {
		f.dead[f.entries[i]] = true
	}
	f.run(6 * connectGrace)
	require.Equal(t, 0, f.degrees()[f.entries[0]])
	f.dead = map[string]bool{f.entries[0]: false}
	for _, e := range f.entries[1:] {
		f.dead[e] = true
	}
	f.run(6 * connectGrace)
	require.Equal(t, 240, f.degrees()[f.entries[0]], "all targets are connected to the last entry")
	clear(f.dead)
	f.run(releaseDelay + time.Second)
	f.requireEven(t, 240*subsetSize/55)
}

func TestRestartOfAnEntryMovesNoConnections(t *testing.T) {
	f := newFleet(50, 30)
	f.run(time.Second)
	before := f.degrees()
	f.kill(3, 30)
	f.run(connectGrace / 2)
	clear(f.dead)
	f.run(releaseDelay + time.Second)
	require.Equal(t, before, f.degrees())
}

func TestNextEntryReplacesARemovedOne(t *testing.T) {
	f := newFleet(1, 20)
	f.run(time.Second)
	a := f.agents[0]
	first := a.members[0].addr
	next := a.members[subsetSize].addr
	require.False(t, a.Selected(next))
	a.Remove(first)
	a.Choose(f.now)
	require.True(t, a.Selected(next))
	require.False(t, a.Selected(first))
	require.False(t, a.Surplus(f.now, first))
}
