package recov

import (
	_ "embed" // the chart

	"persimmonstage/core/chart"
)

//go:embed recovery.chart.toml
var chartFile []byte

const forgetJobs = "forget-jobs"

// The chart is read once, so that a wrong file stops the process at its start.
var (
	recovery = chart.Must(chartFile, forgetJobs)

	stateRecovered  = recovery.MustState("recovered")
	stateHandedOver = recovery.MustState("handed-over")
	stateSettled    = recovery.MustState("settled")

	onFence       = recovery.MustEvent("fence")
	onAllAnswered = recovery.MustEvent("all-answered")
	onHandOver    = recovery.MustEvent("hand-over")
	onOverflow    = recovery.MustEvent("overflow")
	onSettle      = recovery.MustEvent("settle")
)

// raise takes an event and carries out the chart's actions.
func (r *Recovery) raise(event int) {
	next, actions := recovery.Step(r.state, event)
	r.state = next
	for _, action := range actions {
		if action == forgetJobs {
			r.jobs, r.release, r.union = nil, nil, nil
		}
	}
}

// sure reports whether everything that was ever started of a job is known.
func (r *Recovery) sure(at key) bool {
	switch r.state {
	case stateSettled, stateRecovered:
		return true
	case stateHandedOver:
		return r.heardAll(r.release[at])
	}
	return false
}

// Served reports whether every job of the shard gets a definite answer.
func (r *Recovery) Served() bool {
	return r.state == stateSettled || r.state == stateRecovered || r.state == stateHandedOver
}

// Settled reports whether no earlier owner's job can matter any more.
func (r *Recovery) Settled() bool { return recovery.FinalID(r.state) }

// Settle says that everything that earlier owners accepted is past its record's lifetime; what is remembered of it is dropped.
func (r *Recovery) Settle() { r.raise(onSettle) }
