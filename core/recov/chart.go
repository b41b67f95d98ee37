package recov

import (
	_ "embed" // the chart

	"persimmonstage/core/chart"
)

//go:embed recovery.chart.toml
var chartFile []byte

const forgetJobs = "forget-jobs"

// The chart is parsed once, so that an invalid file stops the process at startup.
var (
	recovery = chart.MustLoad(chartFile, forgetJobs)

	stateRecovered  = recovery.MustState("recovered")
	stateHandedOver = recovery.MustState("handed-over")
	stateSettled    = recovery.MustState("settled")

	onFence       = recovery.MustEvent("fence")
	onAllAnswered = recovery.MustEvent("all-answered")
	onHandOver    = recovery.MustEvent("hand-over")
	onOverflow    = recovery.MustEvent("overflow")
	onSettle      = recovery.MustEvent("settle")
)

// raise applies an event and carries out the chart's actions.
func (r *Recovery) raise(event int) {
	next, actions := recovery.Step(r.state, event)
	r.state = next
	for _, action := range actions {
		if action == forgetJobs {
			r.jobs, r.release, r.agents = nil, nil, nil
		}
	}
}

// complete reports whether every start of a job is known.
func (r *Recovery) complete(at key) bool {
	switch r.state {
	case stateSettled, stateRecovered:
		return true
	case stateHandedOver:
		return r.allAnswered(r.release[at])
	}
	return false
}

// Served reports whether every job of the shard gets a definite answer.
func (r *Recovery) Served() bool {
	return r.state == stateSettled || r.state == stateRecovered || r.state == stateHandedOver
}

// Settled reports whether the jobs of earlier owners no longer matter.
func (r *Recovery) Settled() bool { return recovery.FinalID(r.state) }

// Settle ends the recovery once every job that earlier owners accepted is past its record's lifetime, and drops its data.
func (r *Recovery) Settle() { r.raise(onSettle) }
