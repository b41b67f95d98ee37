package slots

import (
	"cmp"
	"slices"

	"persimmonstage/core/needs"
)

// Snapshot is the host's part of a state dump.
type Snapshot struct {
	Free          needs.Vector `json:"free"`
	UnderPressure bool         `json:"pressed"`
	InForce       []leaseState `json:"in-force"`
	Sizes         []sizeState  `json:"learned-sizes"`
}

type leaseState struct {
	Key        string       `json:"key"`
	Kind       string       `json:"kind"`
	Holds      needs.Vector `json:"holds"`
	Used       needs.Vector `json:"used"`
	LastAction Verb         `json:"asked,omitempty"`
}

// sizeState is how many times the declared amount tasks of a kind are given.
type sizeState struct {
	Team   string  `json:"team"`
	Kind   string  `json:"kind"`
	Cores  float64 `json:"cores-factor"`
	Memory float64 `json:"memory-factor"`
}

// Snapshot describes what is held and what was learned.
func (s *Slots) Snapshot() *Snapshot {
	out := &Snapshot{Free: s.Free(), UnderPressure: s.pressed, InForce: []leaseState{}, Sizes: []sizeState{}}
	for key, h := range s.holds {
		if h.gone.IsZero() {
			out.InForce = append(out.InForce, leaseState{Key: key, Kind: h.lease.Kind, Holds: h.holds, Used: h.used, LastAction: h.asked})
		}
	}
	for of, l := range s.lessons {
		out.Sizes = append(out.Sizes, sizeState{Team: of.team, Kind: of.kind, Cores: l.cores.shown(), Memory: l.memory.shown()})
	}
	slices.SortFunc(out.InForce, func(a, b leaseState) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(out.Sizes, func(a, b sizeState) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// shown gives the factor in force; nothing learned is 1.
func (f *factor) shown() float64 {
	if f.seen == 0 {
		return 1
	}
	return f.scale()
}
