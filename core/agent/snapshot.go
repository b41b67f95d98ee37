package agent

import (
	"time"

	"persimmonstage/core/needs"
)

// Snapshot is the agent's part of a state dump.
type Snapshot struct {
	Capacity needs.Vector   `json:"capacity"`
	Held     needs.Vector   `json:"held"`
	Running  []attemptState `json:"running"`
	Queued   int            `json:"queued"`
	Known    int            `json:"attempts-remembered"`
}

type attemptState struct {
	Task     string    `json:"task"`
	Kind     string    `json:"kind"`
	Owner    string    `json:"owner"`
	Deadline time.Time `json:"deadline"`
}

// Snapshot describes what runs and how much waits.
func (a *Agent) Snapshot(time.Time) *Snapshot {
	s := &Snapshot{Capacity: a.capacity, Held: a.held, Queued: a.queue.Len(), Known: len(a.attempts)}
	for name, at := range a.running {
		s.Running = append(s.Running, attemptState{
			Task: name, Kind: at.order.Kind, Owner: at.key.owner, Deadline: at.order.Deadline,
		})
	}
	return s
}
