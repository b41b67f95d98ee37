package sched

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A flood of labels took a fifth of the checks with it, which ask for a tenth of the work: each kind lost about the same part.
func TestFloodOfOneKindLeavesTheOthersTheirShare(t *testing.T) {
	const check, sheet, label = 0, 1, 2
	for _, c := range []struct {
		name    string
		flooded int
		factor  float64
	}{{"labels", label, 4}, {"sheets", sheet, 5}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				kinds := usualKinds()
				kinds[c.flooded].overloadFactor = c.factor
				sim := newOverloadSim(seed, kinds, nominalSpeed)
				sim.run()
				t.Logf("seed %d: served in time: checks %.3f, sheets %.3f, labels %.3f", seed, sim.servedFraction(check), sim.servedFraction(sheet), sim.servedFraction(label))
				require.Greater(t, sim.servedFraction(check), 0.9, "seed %d", seed)
			}
		})
	}
}

func TestRouteIsAboveItsShareOnlyIfOthersAskForLess(t *testing.T) {
	h := newHarness()
	s := newShares()
	s.arrived(h.now, "small", 10)
	s.arrived(h.now, "middle", 25)
	s.arrived(h.now, "large", 90)
	s.started(h.now, "large", 100)
	s.update(h.now, &fleet{})
	require.Equal(t, map[string]bool{"small": false, "middle": false, "large": true}, s.over)
	s.arrived(h.now, "small", 80)
	s.update(h.now, &fleet{})
	require.True(t, s.over["small"], "a flood of the smallest kind is limited itself")
	require.False(t, s.over["middle"])
}
