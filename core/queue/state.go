package queue

import (
	"cmp"
	"slices"
)

// State is the part of the state dump that describes one share.
type State struct {
	Team    string  `json:"team"`
	Kind    string  `json:"kind"`
	Weight  int64   `json:"weight"`
	Waiting int64   `json:"waiting"`
	Bytes   int64   `json:"bytes"`
	Running int64   `json:"running-thousandths"`
	Backlog float64 `json:"backlog-host-seconds"`
	Rate    float64 `json:"rate-host-seconds-per-second"`
	WaitMS  int64   `json:"expected-wait-ms"`
}

// Snapshot returns the shares that have waiting or running items, sorted by team and kind.
func (q *Queue[T]) Snapshot() []State {
	var states []State
	for _, t := range q.teams {
		for _, k := range t.kinds {
			if k.active {
				states = append(states, q.state(k))
			}
		}
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	return states
}

func (q *Queue[T]) state(k *kind[T]) State {
	return State{
		Team:    k.team.name,
		Kind:    k.name,
		Weight:  k.weight,
		Waiting: k.queued,
		Bytes:   k.bytes,
		Running: k.running,
		Backlog: k.correctedBacklog(),
		Rate:    q.rate(k),
		WaitMS:  q.Wait(k.team.name, k.name).Milliseconds(),
	}
}
