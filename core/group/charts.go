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

// charts are read once, so that a wrong file stops the process at its start.
var (
	entryChart  = chart.Must(entryFile, proposeJoin, proposeRepair, proposeLeave)
	appendChart = chart.Must(appendFile, appendRecord, findRecord)
)

// life is the present state of one chart.
type life struct {
	chart *chart.Chart
	state string
}

func newLife(c *chart.Chart) life { return life{chart: c, state: c.Initial()} }

// raise takes an event, which the chart must know, and returns the actions to carry out.
func (l *life) raise(event string) []string {
	next, actions, err := l.chart.Next(l.state, event)
	if err != nil {
		panic(err)
	}
	l.state = next
	return actions
}
