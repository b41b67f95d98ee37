package vers

import (
	_ "embed" // the chart

	"persimmonstage/core/chart"
)

//go:embed history.chart.toml
var chartFile []byte

const keepAsOf = "keep-as-of"

// The chart is parsed when the package is initialised, so an invalid file stops the process at start-up.
var (
	historyChart = mustLoad(chartFile, keepAsOf)

	stateUnknown = historyChart.MustState("unknown")
	stateInForce = historyChart.MustState("in-force")

	onChange = historyChart.MustEvent("change")
	onSkip   = historyChart.MustEvent("skip")
	onAdopt  = historyChart.MustEvent("adopt")
)

// mustLoad also checks that the initial state has ID 0, which is the state of a zero History.
func mustLoad(data []byte, actions ...string) *chart.Chart {
	c := chart.MustLoad(data, actions...)
	if c.InitialID() != 0 {
		panic("chart " + c.Name() + ": the initial state must come first")
	}
	return c
}

// raise applies an event to the state and runs the resulting actions.
func (h *History) raise(event int) {
	next, actions := historyChart.Step(h.state, event)
	h.state = next
	for _, action := range actions {
		if action == keepAsOf {
			h.asOf = h.lastRead
		}
	}
}

func (h *History) inForce() bool { return h.state == stateInForce }
