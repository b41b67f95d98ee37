package shards

import (
	"cmp"
	"fmt"
	"slices"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

const (
	maxOpen    = 16   // maps
	maxShards  = 4096 // shards
	maxMembers = 64   // entries
)

// First proposes the first map of a log, in which one member owns every shard.
func First(id string, shards int, who member.Member) (*Map, error) {
	empty := &Map{slots: make([]slot, max(shards, 0))}
	return empty.Next(id, []member.Member{who}, nil, nil)
}

// Next proposes the next map with the given members: a shard moves only for balance or because its owner is gone, and its epoch
// is increased by one. A new incarnation of a member inherits its shards. unsealed lists the earlier maps that aren't known to be
// sealed, without this one; ended lists the members of these or of this map that are known to be dead.
func (m *Map) Next(id string, members []member.Member, unsealed []UnsealedMap, ended []ident.Ident) (*Map, error) {
	next := &Map{base: m.version, id: id, members: slices.Clone(members), ended: slices.Clone(ended)}
	slices.SortFunc(next.members, func(a, b member.Member) int { return a.Ident().Compare(b.Ident()) })
	slices.SortFunc(next.ended, ident.Ident.Compare)
	next.unsealed = slices.Clone(unsealed)
	if len(m.members) > 0 {
		next.unsealed = append(next.unsealed, UnsealedMap{Version: m.version, Members: m.Members()})
	}
	next.slots = m.assign(next.members)
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

// assign gives each shard an owner: the current one if possible, else the member with the largest remaining quota.
func (m *Map) assign(members []member.Member) []slot {
	if len(members) == 0 {
		return nil
	}
	owners := m.currentOwners(members)
	quota := m.quotas(members, owners)
	for shard, owner := range owners {
		if owner >= 0 && quota[owner] > 0 {
			quota[owner]--
			continue
		}
		owners[shard] = -1
	}
	slots := slices.Clone(m.slots)
	for shard, owner := range owners {
		if owner < 0 {
			owner = largestQuota(quota)
			quota[owner]--
		}
		if who := members[owner].Ident(); slots[shard].owner != who {
			slots[shard] = slot{epoch: slots[shard].epoch + 1, owner: who}
		}
	}
	return slots
}

// currentOwners returns for each shard the index of its current owner or of the owner's new incarnation, or -1.
func (m *Map) currentOwners(members []member.Member) []int {
	at := make(map[ident.Ident]int, len(members))
	for i, one := range members {
		if old, ok := m.Find(one.Name); ok {
			at[old.Ident()] = i
		}
		at[one.Ident()] = i
	}
	owners := make([]int, len(m.slots))
	for shard, s := range m.slots {
		owners[shard] = -1
		if i, ok := at[s.owner]; ok {
			owners[shard] = i
		}
	}
	return owners
}

// quotas divides the shards evenly; the members that hold the most get the remainder, so that the fewest shards move.
func (m *Map) quotas(members []member.Member, owners []int) []int {
	held := make([]int, len(members))
	for _, owner := range owners {
		if owner >= 0 {
			held[owner]++
		}
	}
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(held[b], held[a]) })
	quota := make([]int, len(members))
	each, rest := len(m.slots)/len(members), len(m.slots)%len(members)
	for rank, i := range order {
		quota[i] = each
		if rank < rest {
			quota[i]++
		}
	}
	return quota
}

func largestQuota(quota []int) int {
	best := 0
	for i, n := range quota {
		if n > quota[best] {
			best = i
		}
	}
	return best
}

func (m *Map) check() error {
	switch {
	case m.id == "":
		return &Error{Field: "id", Reason: "missing"}
	case len(m.members) < 1 || len(m.members) > maxMembers:
		return &Error{Field: "members", Reason: fmt.Sprintf("%d members, want 1 to %d", len(m.members), maxMembers)}
	case len(m.slots) < 1 || len(m.slots) > maxShards:
		return &Error{Field: "shards", Reason: fmt.Sprintf("%d shards, want 1 to %d", len(m.slots), maxShards)}
	case len(m.unsealed) > maxOpen:
		return &Error{Field: "open", Reason: fmt.Sprintf("%d unsealed maps, want at most %d", len(m.unsealed), maxOpen)}
	case m.base < 0 || (m.version != 0 && m.version <= m.base):
		return &Error{Field: "base", Reason: fmt.Sprintf("base %d of version %d", m.base, m.version)}
	}
	return m.checkOwners()
}

func (m *Map) checkOwners() error {
	names := make(map[string]bool, len(m.members))
	for i, one := range m.members {
		if one.Name == "" || one.Incarnation == "" {
			return &Error{Field: fmt.Sprintf("members[%d]", i), Reason: "name or incarnation missing"}
		}
		if names[one.Name] {
			return &Error{Field: fmt.Sprintf("members[%d]", i), Reason: "duplicate name " + one.Name}
		}
		names[one.Name] = true
	}
	for shard, s := range m.slots {
		if s.epoch == 0 {
			return &Error{Field: fmt.Sprintf("shards[%d].epoch", shard), Reason: "missing"}
		}
		if !m.Has(s.owner) {
			return &Error{Field: fmt.Sprintf("shards[%d].owner", shard), Reason: s.owner.String() + " is no member"}
		}
	}
	for i, o := range m.unsealed {
		if o.Version > m.base || (i > 0 && o.Version <= m.unsealed[i-1].Version) || len(o.Members) == 0 {
			return &Error{Field: fmt.Sprintf("open[%d]", i), Reason: "out of order or without members"}
		}
	}
	return nil
}
