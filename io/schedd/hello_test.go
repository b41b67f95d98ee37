package schedd

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/io/wire"
)

// TestAnOddAddressOfAnEntryIsNotPassedOn guards against a list of entries that makes every agent dial a name or an impossible port.
func TestAnOddAddressOfAnEntryIsNotPassedOn(t *testing.T) {
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	d.opened(1)
	for _, a := range []string{"10.0.0.1:80", "", "e.example:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.2:80"} {
		d.received(1, &wire.Frame{Body: &wire.Frame_EntryHello{EntryHello: &wire.EntryHello{Address: a}}})
	}
	require.Len(t, d.entries, 2)
}
