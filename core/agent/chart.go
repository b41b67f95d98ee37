package agent

import (
	_ "embed"

	"persimmonstage/core/chart"
)

//go:embed attempt.chart.toml
var chartFile []byte

// Actions of the chart.
const (
	enqueue = "enqueue"
	dequeue = "dequeue"
	hold    = "hold"
	free    = "free"
	lease   = "lease"
	start   = "start"
	grant   = "grant"
	refuse  = "refuse"
	report  = "report"
	repeat  = "repeat"
)

var (
	attemptChart = chart.MustLoad(chartFile, enqueue, dequeue, hold, free, lease, start, grant, refuse, report, repeat)

	onReserve        = attemptChart.MustEvent("reserve")
	onOrder          = attemptChart.MustEvent("order")
	onTurn           = attemptChart.MustEvent("turn")
	onLease          = attemptChart.MustEvent("lease")
	onLeased         = attemptChart.MustEvent("leased")
	onRefuse         = attemptChart.MustEvent("refuse")
	onAlreadyStarted = attemptChart.MustEvent("already-started")
	onEnd            = attemptChart.MustEvent("end")

	stateReserved = attemptChart.MustState("reserved")
	stateGranted  = attemptChart.MustState("granted")
	stateLeasing  = attemptChart.MustState("leasing")
	stateStarted  = attemptChart.MustState("started")
	stateEnded    = attemptChart.MustState("ended")
)
