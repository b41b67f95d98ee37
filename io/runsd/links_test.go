package runsd

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/io/wire"
)

// TestAnOddAddressAmongTheEntriesIsNotDialled guards against connections to names and impossible ports that an entry passes on.
func TestAnOddAddressAmongTheEntriesIsNotDialled(t *testing.T) {
	d := New(Config{Name: "a"}, &refusingTarget{}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	d.heartbeatAnswered(&link{}, &wire.TargetBeatAnswer{
		Stamp: 1, Entries: []string{"10.0.0.1:80", "", "e.example:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.2:80"},
	})
	require.Len(t, d.links, 2)
}
