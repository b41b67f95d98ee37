package shards

// A map is one self-contained record of the log: besides members and owners it lists the earlier maps that agents might still
// accept (the unsealed ones), so that a process that reads only the newest record can complete a takeover. Maps form a chain by
// base; a record whose base isn't the current version is void for every reader.

import (
	"slices"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

// Map is one immutable version of the shard map.
type Map struct {
	version  int64
	base     int64
	id       string
	members  []member.Member
	slots    []slot
	unsealed []UnsealedMap
	ended    []ident.Ident
}

type slot struct {
	epoch uint64
	owner ident.Ident
}

// UnsealedMap is an earlier map that wasn't known to be sealed when a later map was proposed.
type UnsealedMap struct {
	Version int64           `json:"version"`
	Members []member.Member `json:"members"`
}

// Majority returns how many of a map's n members must answer an agent before it accepts orders of an owner under that map.
func Majority(n int) int { return n/2 + 1 }

// SealQuorum returns how many of a map's n members must have left it so that no majority of it can answer any more.
func SealQuorum(n int) int { return n - Majority(n) + 1 }

// Version returns the log offset of the map's record, at least 1; 0 stands for a proposal that isn't in the log yet.
func (m *Map) Version() int64 { return m.version }

// Base returns the version that this map follows; 0 means that it is the first.
func (m *Map) Base() int64 { return m.base }

// ID returns the unique id of the record, by which its writer recognizes it in the log.
func (m *Map) ID() string { return m.id }

// Members returns the entries of the map in the order of their names.
func (m *Map) Members() []member.Member { return slices.Clone(m.members) }

// Size returns the number of members.
func (m *Map) Size() int { return len(m.members) }

// Shards returns the number of shards.
func (m *Map) Shards() int { return len(m.slots) }

// Epoch returns the epoch of a shard, or 0 if the map has no such shard.
func (m *Map) Epoch(shard int) uint64 {
	if !m.valid(shard) {
		return 0
	}
	return m.slots[shard].epoch
}

// Owner returns the owner of a shard, or zero if the map has no such shard.
func (m *Map) Owner(shard int) ident.Ident {
	if !m.valid(shard) {
		return ident.Ident{}
	}
	return m.slots[shard].owner
}

// Owned returns the shards of an owner in ascending order.
func (m *Map) Owned(owner ident.Ident) []int {
	var owned []int
	for shard, s := range m.slots {
		if s.owner == owner {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Find returns the member of that name.
func (m *Map) Find(name string) (member.Member, bool) {
	for _, one := range m.members {
		if one.Name == name {
			return one, true
		}
	}
	return member.Member{}, false
}

// Has reports whether exactly this incarnation is a member.
func (m *Map) Has(who ident.Ident) bool {
	one, ok := m.Find(who.Name)
	return ok && one.Incarnation == who.Incarnation
}

// Unsealed returns the earlier maps that weren't known to be sealed when this map was proposed, oldest first.
func (m *Map) Unsealed() []UnsealedMap { return slices.Clone(m.unsealed) }

// Ended returns the members of this or an unsealed map that were known to be dead when this map was proposed.
func (m *Map) Ended() []ident.Ident { return slices.Clone(m.ended) }

// At returns a copy of the map with the version that the log assigned to its record.
func (m *Map) At(version int64) *Map {
	c := *m
	c.version = version
	return &c
}

// Idents returns the identities of the members.
func (m *Map) Idents() []ident.Ident {
	ids := make([]ident.Ident, len(m.members))
	for i, one := range m.members {
		ids[i] = one.Ident()
	}
	return ids
}

func (m *Map) valid(shard int) bool { return shard >= 0 && shard < len(m.slots) }
