package runs

import (
	_ "embed"

	"persimmonstage/core/chart"
)

//go:embed run.chart.toml
var chartFile []byte

// Actions of the chart.
const (
	report = "report"
	stop   = "stop"
)

var (
	runChart = chart.MustLoad(chartFile, report, stop)

	onAccepted      = runChart.MustEvent("accepted")
	onRefused       = runChart.MustEvent("refused")
	onUnanswered    = runChart.MustEvent("unanswered")
	onListed        = runChart.MustEvent("listed")
	onMissing       = runChart.MustEvent("missing")
	onFinished      = runChart.MustEvent("finished")
	onStopRequested = runChart.MustEvent("stop-requested")
	onStopConfirmed = runChart.MustEvent("stop-confirmed")
	onLeaseExpired  = runChart.MustEvent("lease-expired")
	onRestarted     = runChart.MustEvent("restarted")
	onGone          = runChart.MustEvent("gone")

	stateRunning  = runChart.MustState("running")
	stateBarring  = runChart.MustState("barring")
	stateStopping = runChart.MustState("stopping")
)
