package wire

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/demand"
)

func TestDemandSurvivesTheWire(t *testing.T) {
	var d demand.Demand
	require.Nil(t, NewDemand(&d))
	d.AddRoute(7, demand.Work{Arrived: 1.25, Started: 1})
	d.AddRoute(math.MaxUint32, demand.Work{Arrived: 1e12})
	got := NewDemand(&d).Demand()
	require.Equal(t, demand.Work{Arrived: 1.25, Started: 1}, got.Routes[7])
	require.InDelta(t, math.MaxUint32/1000.0, got.Routes[math.MaxUint32].Arrived, 1)
}

// TestAnOddDemandIsBounded guards against a frame that fills memory with routes.
func TestAnOddDemandIsBounded(t *testing.T) {
	m := &Demand{Routes: []*RouteDemand{nil}}
	for i := range uint32(2 * maxRoutes) {
		m.Routes = append(m.Routes, &RouteDemand{Route: i, ArrivedMilli: 1})
	}
	require.LessOrEqual(t, len(m.Demand().Routes), maxRoutes)
}
