package group

import (
	_ "embed" // the charts

	"persimmonstage/core/chart"
)

const (
	proposeJoin   = "propose-join"
	proposeRepair = "propose-repair"
	proposeLeave  = "propose-leave"
	appendRecord  = "append"
	findRecord    = "find"
)

//go:embed entry.chart.toml
var entryFile []byte

//go:embed append.chart.toml
var appendFile []byte

// The charts are parsed once, so that an invalid file stops the process at startup.
var (
	entryChart  = chart.MustLoad(entryFile, proposeJoin, proposeRepair, proposeLeave)
	appendChart = chart.MustLoad(appendFile, appendRecord, findRecord)
)

// machine is a chart with its current state.
type machine struct {
	chart *chart.Chart
	state string
}

func newMachine(c *chart.Chart) machine { return machine{chart: c, state: c.Initial()} }

// raise applies an event, which must be one of the chart's, and returns the actions to carry out.
func (l *machine) raise(event string) []string {
	next, actions, err := l.chart.Next(l.state, event)
	if err != nil {
		panic(err)
	}
	l.state = next
	return actions
}
