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
	runChart = chart.Must(chartFile, report, stop)

	onAccepted   = runChart.MustEvent("accepted")
	onRefused    = runChart.MustEvent("refused")
	onUnanswered = runChart.MustEvent("unanswered")
	onListed     = runChart.MustEvent("listed")
	onMissing    = runChart.MustEvent("missing")
	onFinished   = runChart.MustEvent("finished")
	onHalt       = runChart.MustEvent("halt")
	onHalted     = runChart.MustEvent("halted")
	onLapse      = runChart.MustEvent("lapse")
	onReborn     = runChart.MustEvent("reborn")

	stateRunning  = runChart.MustState("running")
	stateBarring  = runChart.MustState("barring")
	stateStopping = runChart.MustState("stopping")
)
