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

// sizeState holds the factors by which the declared sizes of tasks of a kind are multiplied.
type sizeState struct {
	Team   string  `json:"team"`
	Kind   string  `json:"kind"`
	Cores  float64 `json:"cores-factor"`
	Memory float64 `json:"memory-factor"`
}

// Snapshot describes the leases in force and the learned corrections.
func (s *Slots) Snapshot() *Snapshot {
	out := &Snapshot{Free: s.Free(), UnderPressure: s.underPressure, InForce: []leaseState{}, Sizes: []sizeState{}}
	for key, h := range s.leases {
		if h.forgetAt.IsZero() {
			out.InForce = append(out.InForce, leaseState{
				Key: key, Kind: h.lease.Kind, Holds: h.reserved, Used: h.used, LastAction: h.lastVerb,
			})
		}
	}
	for of, l := range s.corrections {
		out.Sizes = append(out.Sizes, sizeState{Team: of.team, Kind: of.kind, Cores: l.cores.current(), Memory: l.memory.current()})
	}
	slices.SortFunc(out.InForce, func(a, b leaseState) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(out.Sizes, func(a, b sizeState) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// current returns the factor in use, which is 1 when nothing was learned.
func (f *factor) current() float64 {
	if f.seen == 0 {
		return 1
	}
	return f.scale()
}
