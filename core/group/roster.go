package group

// A new owner must query every agent that may have accepted an earlier map. An agent accepts a map only while a majority of its
// members answers, and every majority intersects every seal quorum. It is therefore sufficient to query the agents that the
// members of a seal quorum have answered, listed after each of them has left the map. Each member collects these lists after
// every map change, and so can list the agents of all earlier maps.

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// Roster is an entry's list of the agents that it has answered, or received from a peer, within the lifetime of records.
type Roster struct {
	From     member.Member
	Version  int64         // the version of the map that the sender carried when it made the list
	Informed int64         // the list includes every agent that may have accepted a map below this version
	Agents   []ident.Ident // every incarnation
}

// NoteAgent records an agent; it must be called before each answer to the agent's heartbeat.
func (g *Group) NoteAgent(now time.Time, agent ident.Ident) { g.agentsSeen[agent] = now }

// Roster returns the list for a peer that requests it; the peer needs one of at least its own version.
func (g *Group) Roster() Roster {
	return Roster{From: g.cfg.Self, Version: g.Version(), Informed: g.informed, Agents: g.agents()}
}

// HandleRoster merges a peer's list.
func (g *Group) HandleRoster(now time.Time, r Roster) {
	if r.Version < g.fence.Version() {
		return
	}
	for _, agent := range r.Agents {
		if _, ok := g.agentsSeen[agent]; !ok {
			g.agentsSeen[agent] = now
		}
	}
	g.rosters[r.From.Ident()] = r
	g.advanceInformed()
}

// Agents returns the known agents, and whether they include all that may have accepted a map below the version. Use the first
// complete list: agents that are added later needn't be queried.
func (g *Group) Agents(version int64) (agents []ident.Ident, complete bool) {
	return g.agents(), g.informed >= version
}

func (g *Group) agents() []ident.Ident {
	return slices.SortedFunc(maps.Keys(g.agentsSeen), ident.Ident.Compare)
}

// advanceInformed raises the informed version past each earlier map for which enough of its members have listed their agents.
func (g *Group) advanceInformed() {
	for _, r := range g.rosters {
		g.informed = max(g.informed, min(r.Informed, g.fence.Version()))
	}
	if g.informed < g.chainStart {
		return
	}
	for _, p := range g.earlier {
		if p.version == g.informed && g.listed(p) {
			g.informed = p.next
		}
	}
}

func (g *Group) listed(p earlierMap) bool {
	n := 0
	for _, one := range p.members {
		_, ok := g.rosters[one.Ident()]
		if ok || one == g.cfg.Self {
			n++
		}
	}
	return n >= shards.SealQuorum(len(p.members))
}

// wantedRosters returns the live entries whose rosters are still missing.
func (g *Group) wantedRosters() []member.Member {
	if g.informed >= g.fence.Version() {
		return nil
	}
	wanted := make(map[ident.Ident]member.Member)
	for _, p := range g.earlier {
		for _, one := range p.members {
			wanted[one.Ident()] = one
		}
	}
	for _, one := range g.fence.Map().Members() {
		wanted[one.Ident()] = one
	}
	var requests []member.Member
	for _, id := range slices.SortedFunc(maps.Keys(wanted), ident.Ident.Compare) {
		if _, ok := g.rosters[id]; !ok && !g.ended[id] && id != g.cfg.Self.Ident() {
			requests = append(requests, wanted[id])
		}
	}
	return requests
}

func (g *Group) forget(now time.Time) {
	for agent, seen := range g.agentsSeen {
		if now.Sub(seen) > g.cfg.wait()+g.cfg.Lifetime {
			delete(g.agentsSeen, agent)
		}
	}
}
