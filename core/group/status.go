package group

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

// Status is the group's state in an operator's state dump.
type Status struct {
	State    string          `json:"state"`    // of the entry chart
	Proposal string          `json:"proposal"` // of the append chart
	Version  int64           `json:"version"`
	Members  []member.Member `json:"members"`
	Alive    []ident.Ident   `json:"alive"`
	Ended    []ident.Ident   `json:"ended"`    // members known to be dead
	Unsealed []int64         `json:"unsealed"` // earlier maps that agents may still accept
	Informed int64           `json:"informed"` // the agents of all maps below this version are known
	Agents   int             `json:"agents"`   // known, every incarnation
	Owned    []int           `json:"owned"`    // shards
	Held     int             `json:"held"`     // owned shards whose jobs may be answered "not run"
}

// Status returns the current state.
func (g *Group) Status(now time.Time) Status {
	s := Status{
		State: g.entry.state, Proposal: g.proposal.state, Version: g.Version(), Alive: g.Alive(now),
		Ended: g.dead(), Informed: g.informed, Agents: len(g.agentsSeen),
		Owned: slices.Sorted(maps.Keys(g.gains)),
	}
	if m := g.fence.Map(); m != nil {
		s.Members = m.Members()
	}
	for _, p := range g.earlier {
		if p.sealed.IsZero() {
			s.Unsealed = append(s.Unsealed, p.version)
		}
	}
	for _, shard := range s.Owned {
		if g.Holds(now, shard) {
			s.Held++
		}
	}
	return s
}
