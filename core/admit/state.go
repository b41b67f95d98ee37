package admit

import (
	"cmp"
	"slices"
	"time"
)

// State is the part of the state dump that describes one share.
type State struct {
	Team    string  `json:"team"`
	Kind    string  `json:"kind"`
	Weight  int64   `json:"weight"`
	Tasks   int64   `json:"tasks"`
	Bytes   int64   `json:"bytes"`
	Running int64   `json:"team-running"`
	Backlog float64 `json:"backlog-host-seconds"`
	Rate    float64 `json:"rate-host-seconds-per-second"`
	WaitMS  int64   `json:"expected-wait-ms"`
}

// Snapshot returns the active shares, sorted by team and kind.
func (g *Gate) Snapshot(now time.Time) []State {
	var states []State
	for _, t := range g.teams {
		for _, k := range t.kinds {
			if k.active {
				states = append(states, g.state(k, now))
			}
		}
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	return states
}

func (g *Gate) state(k *kind, now time.Time) State {
	return State{
		Team:    k.team.name,
		Kind:    k.name,
		Weight:  k.weight,
		Tasks:   k.tasks,
		Bytes:   k.bytes,
		Running: k.team.running,
		Backlog: k.backlog(),
		Rate:    g.rate(k, &Request{}),
		WaitMS:  g.Wait(k.team.name, k.name, now).Milliseconds(),
	}
}
