package count

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseSumsSeriesOfOneName(t *testing.T) {
	got := parse([]byte("# HELP a b\n# TYPE a counter\na{x=\"1 2\"} 3\na{x=\"2\"} 4\nb 1e+06\n\n"))
	require.Equal(t, map[string]float64{"a": 7, "b": 1e6}, got)
}

// A withdrawn reservation counts as two wasted messages: the withdrawal and the refusal that answers the reservation.
func TestWithdrawnReservationIsTwoWastedMessages(t *testing.T) {
	c := Counts{Orders: 10, Reserves: 20, Withdraws: 10, Refusals: 10, TargetStarts: 10}
	require.InDelta(t, 2, c.WastedPerStart(), 1e-9)
	require.InDelta(t, 5, c.MessagesPerStart(), 1e-9)
}

// Entries count orders, not starts; an order that was refused and sent again is one start.
func TestStartsOfEntriesExcludeRefusedOrders(t *testing.T) {
	c := Counts{Orders: 138, Refusals: 5, Withdraws: 3}
	require.InDelta(t, 136, c.Starts(), 1e-9)
}
