package group

// An earlier map is sealed when so many of its members have left it that no majority of it can answer an agent any more. A member
// has left it when it carries a later version or is dead. After the grace no agent accepts a sealed map.

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

const maxUnlisted = 8 // earlier maps listed in a proposal only because their agents aren't all known

type earlierMap struct {
	version int64
	next    int64 // the version after it
	members []member.Member
	sealed  time.Time // zero until known to be sealed
}

// Fenced returns the time from which no agent accepts a map before the version, and whether that time has been reached.
func (g *Group) Fenced(now time.Time, version int64) (time.Time, bool) {
	var last time.Time
	for _, p := range g.earlier {
		if p.version >= version {
			continue
		}
		if p.sealed.IsZero() {
			return time.Time{}, false
		}
		if p.sealed.After(last) {
			last = p.sealed
		}
	}
	if last.IsZero() {
		return last, true
	}
	at := last.Add(g.cfg.wait())
	return at, !now.Before(at)
}

// addEarlierMaps adds the map before m, and those that m lists as unsealed, to the earlier maps.
func (g *Group) addEarlierMaps(now time.Time, before, m *shards.Map) {
	unsealed := m.Unsealed()
	if m.Base() == 0 {
		g.informed = m.Version()
		g.chainStart = m.Version()
	}
	if len(unsealed) > 0 && (before == nil || unsealed[0].Version > before.Version()) {
		g.chainStart = unsealed[0].Version
	}
	g.sealDropped(now, unsealed)
	for i, o := range unsealed {
		next := m.Version()
		if i+1 < len(unsealed) {
			next = unsealed[i+1].Version
		}
		g.insert(earlierMap{version: o.Version, next: next, members: o.Members})
	}
}

// sealDropped marks the earlier maps that the new map no longer lists as sealed, since its proposer knew that they were.
func (g *Group) sealDropped(now time.Time, unsealed []shards.UnsealedMap) {
	for i := range g.earlier {
		p := &g.earlier[i]
		listed := slices.ContainsFunc(unsealed, func(o shards.UnsealedMap) bool { return o.Version == p.version })
		if !listed && p.sealed.IsZero() {
			p.sealed = now
		}
	}
}

func (g *Group) insert(p earlierMap) {
	i, ok := slices.BinarySearchFunc(g.earlier, p.version, func(q earlierMap, version int64) int { return int(q.version - version) })
	if ok {
		g.earlier[i].next = p.next
		return
	}
	g.earlier = slices.Insert(g.earlier, i, p)
}

// seal marks the earlier maps that have become sealed, and removes those whose starts have all expired.
func (g *Group) seal(now time.Time) {
	for i := range g.earlier {
		p := &g.earlier[i]
		if p.sealed.IsZero() && g.countLeft(p) >= shards.SealQuorum(len(p.members)) {
			p.sealed = now
		}
	}
	for len(g.earlier) > 0 && g.expired(now, g.earlier[0]) {
		g.chainStart = max(g.chainStart, g.earlier[0].next)
		g.informed = max(g.informed, g.earlier[0].next)
		g.earlier = slices.Delete(g.earlier, 0, 1)
	}
}

func (g *Group) expired(now time.Time, p earlierMap) bool {
	return !p.sealed.IsZero() && now.Sub(p.sealed) > g.cfg.wait()+g.cfg.Lifetime
}

// countLeft returns the number of a map's members that have left it.
func (g *Group) countLeft(p *earlierMap) int {
	n := 0
	for _, one := range p.members {
		if g.versionOf(one.Ident()) > p.version || g.ended[one.Ident()] {
			n++
		}
	}
	return n
}

func (g *Group) versionOf(id ident.Ident) int64 {
	if id == g.cfg.Self.Ident() {
		return g.fence.Version()
	}
	if p, ok := g.peers[id]; ok {
		return p.version
	}
	return 0
}

// mapsToList returns the earlier maps that the next proposal must list, without a gap. The first is the oldest that isn't sealed,
// or, while there are at most maxUnlisted earlier maps, the oldest whose agents aren't all known.
func (g *Group) mapsToList() []shards.UnsealedMap {
	var unsealed []shards.UnsealedMap
	for _, p := range g.earlier {
		if len(unsealed) == 0 && !p.sealed.IsZero() && (p.next <= g.informed || len(g.earlier) > maxUnlisted) {
			continue
		}
		unsealed = append(unsealed, shards.UnsealedMap{Version: p.version, Members: p.members})
	}
	return unsealed
}
