package group

// An earlier map is sealed when enough of its members have left it that no majority of it can answer an agent any more. A
// member has left it when it carries a later version, or when it has ended. After the grace no agent obeys a sealed map.

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

const maxUnlisted = 8 // earlier maps kept in a proposal only for the agents' sake

type pred struct {
	version int64
	next    int64 // the version that followed
	members []member.Member
	sealed  time.Time // zero until known to be sealed
}

// Fenced returns the moment from which on no agent obeys a map before the version, and whether it has come.
func (g *Group) Fenced(now time.Time, version int64) (time.Time, bool) {
	var last time.Time
	for _, p := range g.preds {
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

// link adds the map before m, and those that m lists as open, to the earlier maps.
func (g *Group) link(now time.Time, before, m *shards.Map) {
	open := m.Unsealed()
	if m.Base() == 0 {
		g.informed = m.Version()
		g.chain = m.Version()
	}
	if len(open) > 0 && (before == nil || open[0].Version > before.Version()) {
		g.chain = open[0].Version
	}
	g.closeDropped(now, open)
	for i, o := range open {
		next := m.Version()
		if i+1 < len(open) {
			next = open[i+1].Version
		}
		g.insert(pred{version: o.Version, next: next, members: o.Members})
	}
}

// closeDropped takes an earlier map that the new one no longer lists as sealed: its proposer knew.
func (g *Group) closeDropped(now time.Time, open []shards.UnsealedMap) {
	for i := range g.preds {
		p := &g.preds[i]
		listed := slices.ContainsFunc(open, func(o shards.UnsealedMap) bool { return o.Version == p.version })
		if !listed && p.sealed.IsZero() {
			p.sealed = now
		}
	}
}

func (g *Group) insert(p pred) {
	i, ok := slices.BinarySearchFunc(g.preds, p.version, func(q pred, version int64) int { return int(q.version - version) })
	if ok {
		g.preds[i].next = p.next
		return
	}
	g.preds = slices.Insert(g.preds, i, p)
}

// seal looks for earlier maps that have become sealed, and forgets those whose starts have all expired.
func (g *Group) seal(now time.Time) {
	for i := range g.preds {
		p := &g.preds[i]
		if p.sealed.IsZero() && g.left(p) >= shards.SealQuorum(len(p.members)) {
			p.sealed = now
		}
	}
	for len(g.preds) > 0 && g.expired(now, g.preds[0]) {
		g.chain = max(g.chain, g.preds[0].next)
		g.informed = max(g.informed, g.preds[0].next)
		g.preds = slices.Delete(g.preds, 0, 1)
	}
}

func (g *Group) expired(now time.Time, p pred) bool {
	return !p.sealed.IsZero() && now.Sub(p.sealed) > g.cfg.wait()+g.cfg.Lifetime
}

// left counts the members that have left a map behind.
func (g *Group) left(p *pred) int {
	n := 0
	for _, one := range p.members {
		if g.carries(one.Ident()) > p.version || g.ended[one.Ident()] {
			n++
		}
	}
	return n
}

func (g *Group) carries(id ident.Ident) int64 {
	if id == g.cfg.Self.Ident() {
		return g.fence.Version()
	}
	if p, ok := g.peers[id]; ok {
		return p.version
	}
	return 0
}

// open returns the earlier maps that the next proposal must list, without a gap: from the oldest that isn't sealed, or, while
// there is room, whose agents this process doesn't know all.
func (g *Group) open() []shards.UnsealedMap {
	var open []shards.UnsealedMap
	for _, p := range g.preds {
		if len(open) == 0 && !p.sealed.IsZero() && (p.next <= g.informed || len(g.preds) > maxUnlisted) {
			continue
		}
		open = append(open, shards.UnsealedMap{Version: p.version, Members: p.members})
	}
	return open
}
