package runs

import "time"

// Snapshot is the table's part of a state dump.
type Snapshot struct {
	Target    *Instance  `json:"target"`
	Clean     bool       `json:"clean"`
	Leaving   bool       `json:"leaving"`
	Evacuated bool       `json:"evacuated"`
	Answered  time.Time  `json:"answered"`
	Extended  time.Time  `json:"lease-extended"`
	Ack       int64      `json:"ends-taken-note-of"`
	Pace      float64    `json:"pace"`
	Runs      []runState `json:"runs"`
	Waiting   int        `json:"orders-waiting"`
}

type runState struct {
	Task   string    `json:"task"`
	Number int       `json:"number"`
	Owner  string    `json:"owner"`
	State  string    `json:"state"`
	Began  time.Time `json:"began"`
}

// Snapshot describes the target and its runs; times are of the clock that is passed to the table's methods.
func (r *Runs) Snapshot() *Snapshot {
	out := &Snapshot{
		Target: r.instance, Clean: r.clean, Leaving: r.leaving, Evacuated: r.evacuated(), Answered: r.lastAnswer, Extended: r.lastExtended,
		Ack: r.ack, Pace: r.pace.value(), Waiting: len(r.waiting),
	}
	for _, u := range r.sorted() {
		out.Runs = append(out.Runs, runState{
			Task: u.key.Task, Number: u.key.Number, Owner: u.owner, State: runChart.StateName(u.state), Began: u.began,
		})
	}
	return out
}
