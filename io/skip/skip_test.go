package skip_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"persimmonstage/io/skip"
)

// TestASkippedItemIsLoggedOnce guards against a log that one odd entry fills, since lists are read every few seconds.
func TestASkippedItemIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	reg := prometheus.NewRegistry()
	r := skip.New(zap.New(core), reg)
	for range 3 {
		r.Skip("store", strings.Repeat("k", 1000), "value: not base64")
	}
	require.Equal(t, 1, logs.Len())
	require.Less(t, len(logs.All()[0].ContextMap()["key"].(string)), 100)
	families, err := reg.Gather()
	require.NoError(t, err)
	require.Equal(t, "persimmonstage_skipped_items_total", families[0].GetName())
	require.InDelta(t, 3, families[0].GetMetric()[0].GetCounter().GetValue(), 0)
	for i := range 10_000 {
		r.Skip("store", strconv.Itoa(i), "key: not text")
	}
	require.Less(t, logs.Len(), 1000)
}
