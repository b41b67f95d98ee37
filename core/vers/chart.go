package vers

import (
	_ "embed" // the chart

	"persimmonstage/core/chart"
)

//go:embed history.chart.toml
var chartFile []byte

const keepAsOf = "keep-as-of"

// The chart is read once, so that a wrong file stops the process at its start.
var (
	life = mustLoad(chartFile, keepAsOf)

	stateUnknown = life.MustState("unknown")
	stateInForce = life.MustState("in-force")

	onChange = life.MustEvent("change")
	onSkip   = life.MustEvent("skip")
	onAdopt  = life.MustEvent("adopt")
)

// mustLoad also holds the chart to what the zero History stands for.
func mustLoad(data []byte, actions ...string) *chart.Chart {
	c := chart.MustLoad(data, actions...)
	if c.InitialID() != 0 {
		panic("chart " + c.Name() + ": the initial state must come first")
	}
	return c
}

// raise takes an event and carries out the chart's actions.
func (h *History) raise(event int) {
	next, actions := life.Step(h.state, event)
	h.state = next
	for _, action := range actions {
		if action == keepAsOf {
			h.asOf = h.read
		}
	}
}

func (h *History) inForce() bool { return h.state == stateInForce }
