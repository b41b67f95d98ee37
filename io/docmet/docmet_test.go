package docmet_test

import (
	"math"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/newest"
	"persimmonstage/io/docmet"
	"persimmonstage/io/uptime"
)

func gauges(t *testing.T, reg *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		values[f.GetName()] = f.GetMetric()[0].GetGauge().GetValue()
	}
	return values
}

func TestTheGaugesFollowTheDocument(t *testing.T) {
	reg, doc := prometheus.NewRegistry(), &newest.Newest{}
	docmet.Register(reg, doc)
	require.True(t, math.IsNaN(gauges(t, reg)["persimmonstage_configuration_confirmed_seconds"]))
	doc.Update(9, nil, "store")
	doc.Confirm(uptime.Now(), uptime.Now(), 1)
	values := gauges(t, reg)
	require.InDelta(t, 9, values["persimmonstage_configuration_version"], 0)
	require.GreaterOrEqual(t, values["persimmonstage_configuration_confirmed_seconds"], 0.0)
}
