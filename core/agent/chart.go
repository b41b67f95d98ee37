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
	attemptChart = mustLoad()

	onReserve = mustEvent("reserve")
	onOrder   = mustEvent("order")
	onTurn    = mustEvent("turn")
	onLease   = mustEvent("lease")
	onLeased  = mustEvent("leased")
	onBar     = mustEvent("bar")
	onKnown   = mustEvent("known")
	onEnd     = mustEvent("end")

	stateReserved = attemptChart.StateID("reserved")
	stateGranted  = attemptChart.StateID("granted")
	stateLeasing  = attemptChart.StateID("leasing")
	stateStarted  = attemptChart.StateID("started")
	stateEnded    = attemptChart.StateID("ended")
)

func mustLoad() *chart.Chart {
	c, err := chart.Load(chartFile, enqueue, dequeue, hold, free, lease, start, grant, refuse, report, repeat)
	if err != nil {
		panic(err)
	}
	return c
}

func mustEvent(name string) int {
	id := attemptChart.EventID(name)
	if id < 0 {
		panic("attempt chart has no event " + name)
	}
	return id
}
