package agent

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/slots"
)

// Snapshot is the agent's part of a state dump.
type Snapshot struct {
	Capacity needs.Vector   `json:"capacity"`
	Held     needs.Vector   `json:"held"`
	Running  []attemptState `json:"running"`
	Queued   int            `json:"queued"`
	Attempts int            `json:"attempts-remembered"`
	// Leases is omitted if starts need no lease.
	Leases *slots.Snapshot `json:"leases,omitempty"`
}

type attemptState struct {
	Task     string    `json:"task"`
	Kind     string    `json:"kind"`
	Owner    string    `json:"owner"`
	Deadline time.Time `json:"deadline"`
}

// Snapshot returns the running tasks and the queue's length.
func (a *Agent) Snapshot(time.Time) *Snapshot {
	s := &Snapshot{Capacity: a.capacity, Held: a.held, Queued: a.queue.Len(), Attempts: len(a.attempts), Leases: a.room.Snapshot()}
	for name, at := range a.running {
		s.Running = append(s.Running, attemptState{
			Task: name, Kind: at.order.Kind, Owner: at.key.owner, Deadline: at.order.Deadline,
		})
	}
	return s
}
