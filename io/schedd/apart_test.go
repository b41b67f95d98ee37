package schedd

import (
	"math"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/core/pairs"
	"persimmonstage/io/wire"
)

// TestUnequalOrLongListsOfKindsAreCutOff guards against a message of an agent that the entry can't hold or read.
func TestUnequalOrLongListsOfKindsAreCutOff(t *testing.T) {
	require.Len(t, shares(&wire.RunEnd{BesideKinds: make([]uint32, 9), BesidePermille: make([]uint32, 3)}), 3)
	require.Len(t, shares(&wire.RunEnd{BesideKinds: make([]uint32, 900), BesidePermille: make([]uint32, 900)}), maxBeside)
	require.Len(t, kinds(make([]uint32, 900)), maxBeside)
	many := shares(&wire.RunEnd{BesideKinds: []uint32{7}, BesidePermille: []uint32{math.MaxUint32}})
	require.Equal(t, []pairs.Share{{Kind: 7, Runs: maxRuns}}, many)
}

// TestPairsAreCounted checks that operators see how many pairs are kept apart.
func TestPairsAreCounted(t *testing.T) {
	reg := prometheus.NewRegistry()
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), reg)
	d.KeepApart()
	d.pairChanged(pairs.Change{Slowed: "a", By: "b", Apart: true})
	d.pairChanged(pairs.Change{Slowed: "a", By: "c", Apart: true})
	d.pairChanged(pairs.Change{Slowed: "a", By: "b"})
	families, err := reg.Gather()
	require.NoError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		m := f.GetMetric()[0]
		got[f.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	require.InDelta(t, 1, got["persimmonstage_route_pairs_apart"], 0)
	require.InDelta(t, 2, got["persimmonstage_route_pairs_found_total"], 0)
}
