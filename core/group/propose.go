package group

import (
	"encoding/json"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// propose returns the map to propose for a chart action, or nil if there is nothing to change now.
func (g *Group) propose(now time.Time, action string, newID func() string) *shards.Map {
	var members []member.Member
	switch action {
	case proposeJoin:
		members = g.membersAfterJoining(now)
	case proposeRepair:
		members = g.membersAfterRepair(now)
	case proposeLeave:
		members = g.membersAfterLeaving(now)
	}
	if len(members) == 0 {
		return nil
	}
	m, err := g.next(newID(), members)
	if err != nil {
		return nil // too many unsealed maps: wait until the oldest ones are sealed
	}
	return m
}

func (g *Group) next(id string, members []member.Member) (*shards.Map, error) {
	if g.fence.Map() == nil {
		return shards.First(id, g.cfg.Shards, g.cfg.Self)
	}
	return g.fence.Map().Next(id, members, g.mapsToList(), g.dead())
}

// dead returns the members of the current and earlier maps that are known to be dead.
func (g *Group) dead() []ident.Ident {
	var dead []ident.Ident
	for _, one := range g.knownMembers() {
		if g.ended[one.Ident()] && !slices.Contains(dead, one.Ident()) {
			dead = append(dead, one.Ident())
		}
	}
	return dead
}

// membersAfterJoining returns the members including this process. A process may join when the log has no map, when it replaces
// its own earlier incarnation, which is known to be dead, or when a majority of the members receives its heartbeats.
func (g *Group) membersAfterJoining(now time.Time) []member.Member {
	if g.fence.Map() == nil {
		return []member.Member{g.cfg.Self}
	}
	old, taken := g.fence.Map().Find(g.cfg.Self.Name)
	if taken && !g.ended[old.Ident()] || !taken && !g.reachesMajority(now) {
		return nil
	}
	rest := slices.DeleteFunc(g.fence.Map().Members(), func(one member.Member) bool { return one.Name == g.cfg.Self.Name })
	return append(rest, g.cfg.Self)
}

// reachesMajority reports whether a majority of the members has recently returned a stamp of this process.
func (g *Group) reachesMajority(now time.Time) bool {
	n := 0
	for _, id := range g.fence.Map().Idents() {
		if p := g.peers[id]; p != nil && now.Sub(p.echoed) < g.cfg.Suspect {
			n++
		}
	}
	return n >= shards.Majority(g.fence.Map().Size())
}

// membersAfterRepair returns the members without the suspected and retired ones, or nil if there is nothing to change.
func (g *Group) membersAfterRepair(now time.Time) []member.Member {
	rest := g.survivors(now)
	if len(rest) < g.fence.Map().Size() && g.canSeal(now) || g.retirementUnrecorded() || g.stale(now) {
		return rest
	}
	return nil
}

// retirementUnrecorded reports whether the map doesn't record yet that an operator has retired a member.
func (g *Group) retirementUnrecorded() bool {
	said := g.fence.Map().Ended()
	return slices.ContainsFunc(g.dead(), func(id ident.Ident) bool { return g.retired[id] && !slices.Contains(said, id) })
}

// stale reports whether the map's record is old enough that this entry must append it again.
func (g *Group) stale(now time.Time) bool {
	return g.cfg.Refresh > 0 && now.Sub(g.adopted) >= g.cfg.Refresh && g.rank(now) == 0
}

// membersAfterLeaving returns the members without this process and the suspected ones; the last member leaves without a proposal.
func (g *Group) membersAfterLeaving(now time.Time) []member.Member {
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

// canSeal reports whether enough members are alive, or known to be dead, to seal the current map; otherwise a proposal would
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

// suspected reports whether heartbeats between a member and a majority of the live members, including this entry, have failed in
// either direction for the suspect timeout. Each later entry in the order waits one more heartbeat interval, so that one of them
// proposes first.
//
// A member that receives no heartbeats may not serve its shards even if its own heartbeats arrive, so they need another owner.
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
		if !slices.Contains(p.reachable, id) {
			silent++
		}
	}
	return silent >= shards.Majority(others)
}

func (g *Group) lastAnswer(id ident.Ident) time.Time {
	last := g.silenceFrom
	for _, t := range []time.Time{g.since[id], g.lastAnswered(g.peers[id])} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// lastAnswered returns the latest time at which heartbeats to and from a peer are known to have arrived. A stamp is returned up
// to two heartbeat intervals after it was made, which isn't counted as silence.
func (g *Group) lastAnswered(p *peer) time.Time {
	if p == nil || p.echoed.IsZero() {
		return time.Time{}
	}
	if back := p.echoed.Add(2 * g.cfg.HeartbeatInterval); back.Before(p.lastBeat) {
		return back
	}
	return p.lastBeat
}

// mutuallyReachable returns the entries that exchange heartbeats with this one in both directions, and this one.
func (g *Group) mutuallyReachable(now time.Time) []ident.Ident {
	return slices.DeleteFunc(g.Alive(now), func(id ident.Ident) bool {
		return id != g.cfg.Self.Ident() && now.Sub(g.lastAnswered(g.peers[id])) >= g.cfg.Suspect
	})
}

// rank returns this entry's position among the live members.
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
