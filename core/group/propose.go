package group

import (
	"encoding/json"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// propose returns the map that the chart's action asks for, or nil if there is nothing to change now.
func (g *Group) propose(now time.Time, action string, newID func() string) *shards.Map {
	var members []member.Member
	switch action {
	case proposeJoin:
		members = g.joined(now)
	case proposeRepair:
		members = g.repaired(now)
	case proposeLeave:
		members = g.without(now)
	}
	if len(members) == 0 {
		return nil
	}
	m, err := g.next(newID(), members)
	if err != nil {
		return nil // too many unsealed maps: wait until the oldest are sealed
	}
	return m
}

func (g *Group) next(id string, members []member.Member) (*shards.Map, error) {
	if g.fence.Map() == nil {
		return shards.First(id, g.cfg.Shards, g.cfg.Self)
	}
	return g.fence.Map().Next(id, members, g.open(), g.dead())
}

// dead returns the members of the present and of open maps that are known to have ended.
func (g *Group) dead() []ident.Ident {
	var dead []ident.Ident
	for _, one := range g.everyone() {
		if g.ended[one.Ident()] && !slices.Contains(dead, one.Ident()) {
			dead = append(dead, one.Ident())
		}
	}
	return dead
}

// joined returns the members with this process among them. A process joins by itself when the log has no map, when it replaces
// its own earlier incarnation, which is known to be dead, or when a majority of the members hears it.
func (g *Group) joined(now time.Time) []member.Member {
	if g.fence.Map() == nil {
		return []member.Member{g.cfg.Self}
	}
	old, taken := g.fence.Map().Find(g.cfg.Self.Name)
	if taken && !g.ended[old.Ident()] || !taken && !g.welcome(now) {
		return nil
	}
	rest := slices.DeleteFunc(g.fence.Map().Members(), func(one member.Member) bool { return one.Name == g.cfg.Self.Name })
	return append(rest, g.cfg.Self)
}

// welcome reports whether a majority of the members has lately returned a stamp of this process.
func (g *Group) welcome(now time.Time) bool {
	n := 0
	for _, id := range g.fence.Map().Idents() {
		if p := g.peers[id]; p != nil && now.Sub(p.echoed) < g.cfg.Suspect {
			n++
		}
	}
	return n >= shards.Majority(g.fence.Map().Size())
}

// repaired returns the members without the suspected and the retired, where there is anything to change.
func (g *Group) repaired(now time.Time) []member.Member {
	rest := g.survivors(now)
	if len(rest) < g.fence.Map().Size() && g.canSeal(now) || g.unsaid() || g.stale(now) {
		return rest
	}
	return nil
}

// unsaid reports whether an operator's word about a member isn't in the map yet.
func (g *Group) unsaid() bool {
	said := g.fence.Map().Ended()
	return slices.ContainsFunc(g.dead(), func(id ident.Ident) bool { return g.retired[id] && !slices.Contains(said, id) })
}

// stale reports whether the map's record is so old that this entry must append it again.
func (g *Group) stale(now time.Time) bool {
	return g.cfg.Refresh > 0 && now.Sub(g.adopted) >= g.cfg.Refresh && g.rank(now) == 0
}

// without returns the members without this process and without the suspected; a lone member just leaves.
func (g *Group) without(now time.Time) []member.Member {
	rest := g.fence.Map().Members()
	if g.canSeal(now) {
		rest = g.survivors(now)
	}
	rest = slices.DeleteFunc(rest, func(one member.Member) bool { return one == g.cfg.Self })
	if len(rest) == 0 {
		g.entry.raise("alone")
	}
	return rest
}

func (g *Group) survivors(now time.Time) []member.Member {
	return slices.DeleteFunc(g.fence.Map().Members(), func(one member.Member) bool {
		return one != g.cfg.Self && (g.retired[one.Ident()] || g.suspected(now, one.Ident()))
	})
}

// canSeal reports whether enough members are here, or surely dead, to seal the present map; a proposal without them would
// only stop the shards.
func (g *Group) canSeal(now time.Time) bool {
	alive := g.Alive(now)
	n := 0
	for _, id := range g.fence.Map().Idents() {
		if g.ended[id] || slices.Contains(alive, id) {
			n++
		}
	}
	return n >= shards.SealQuorum(g.fence.Map().Size())
}

// suspected reports whether this entry and a majority of the other live members have not heard a member, or have not been
// heard by it, for the suspect timeout; entries later in the order wait a beat longer each, so that one of them proposes first.
//
// A member that hears nobody may not serve its shards, although its own heartbeats arrive; heard or not, they need another owner.
func (g *Group) suspected(now time.Time, id ident.Ident) bool {
	if now.Sub(g.lastAnswer(id)) < g.cfg.Suspect+time.Duration(g.rank(now))*g.cfg.HeartbeatInterval {
		return false
	}
	others, silent := 1, 1
	for _, other := range g.Alive(now) {
		p := g.peers[other]
		if p == nil || other == id || !g.fence.Map().Has(other) {
			continue
		}
		others++
		if !slices.Contains(p.hears, id) {
			silent++
		}
	}
	return silent >= shards.Majority(others)
}

func (g *Group) lastAnswer(id ident.Ident) time.Time {
	last := g.amnesty
	for _, t := range []time.Time{g.since[id], g.answered(g.peers[id])} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// answered returns the latest moment at which a peer was known to hear this entry and be heard by it. A stamp comes back up to
// two heartbeats after it was made, which isn't counted as silence.
func (g *Group) answered(p *peer) time.Time {
	if p == nil || p.echoed.IsZero() {
		return time.Time{}
	}
	if back := p.echoed.Add(2 * g.cfg.HeartbeatInterval); back.Before(p.heard) {
		return back
	}
	return p.heard
}

// answering returns the entries that hear this one and are heard by it, this one included.
func (g *Group) answering(now time.Time) []ident.Ident {
	return slices.DeleteFunc(g.Alive(now), func(id ident.Ident) bool {
		return id != g.cfg.Self.Ident() && now.Sub(g.answered(g.peers[id])) >= g.cfg.Suspect
	})
}

// rank is this entry's place among the live members.
func (g *Group) rank(now time.Time) int {
	n := 0
	for _, id := range g.Alive(now) {
		if id == g.cfg.Self.Ident() {
			return n
		}
		if g.fence.Map().Has(id) {
			n++
		}
	}
	return n
}

func record(m *shards.Map) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a map holds only strings and numbers
	}
	return data
}
