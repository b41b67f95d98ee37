package group

// A new owner must ask every agent that may have obeyed an earlier map. An agent obeys only what a majority answers, and every
// majority meets the carriers; so the agents that the carriers have answered, as of a moment after each left the map, are
// enough. Each member collects these lists after every change of the map, and so stays able to speak for all earlier maps.

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// Roster is an entry's list of the agents that it has answered or learned of within the lifetime of records.
type Roster struct {
	From     member.Member
	Version  int64         // the map that the sender carried when it made the list
	Informed int64         // the list covers every agent that may have obeyed a map below this version
	Agents   []ident.Ident // every incarnation
}

// NoteAgent notes an agent; call it before each answer to the agent's heartbeat.
func (g *Group) NoteAgent(now time.Time, agent ident.Ident) { g.known[agent] = now }

// Roster answers a peer that asks for the list; the asker needs one of at least its own version.
func (g *Group) Roster() Roster {
	return Roster{From: g.cfg.Self, Version: g.Version(), Informed: g.informed, Agents: g.agents()}
}

// HandleRoster takes a peer's list.
func (g *Group) HandleRoster(now time.Time, r Roster) {
	if r.Version < g.fence.Version() {
		return
	}
	for _, agent := range r.Agents {
		if _, ok := g.known[agent]; !ok {
			g.known[agent] = now
		}
	}
	g.rosters[r.From.Ident()] = r
	g.inform()
}

// Agents returns the agents known, and whether they are all that may have obeyed a map below the version. Take the list at the
// first moment when it is complete: agents that are met later need no asking.
func (g *Group) Agents(version int64) (agents []ident.Ident, complete bool) {
	return g.agents(), g.informed >= version
}

func (g *Group) agents() []ident.Ident {
	return slices.SortedFunc(maps.Keys(g.known), ident.Ident.Compare)
}

// inform raises the informed version over each earlier map for which enough of its members have listed their agents.
func (g *Group) inform() {
	for _, r := range g.rosters {
		g.informed = max(g.informed, min(r.Informed, g.fence.Version()))
	}
	if g.informed < g.chain {
		return
	}
	for _, p := range g.preds {
		if p.version == g.informed && g.listed(p) {
			g.informed = p.next
		}
	}
}

func (g *Group) listed(p pred) bool {
	n := 0
	for _, one := range p.members {
		_, ok := g.rosters[one.Ident()]
		if ok || one == g.cfg.Self {
			n++
		}
	}
	return n >= shards.SealQuorum(len(p.members))
}

// asks returns the live entries whose rosters are still wanted.
func (g *Group) asks() []member.Member {
	if g.informed >= g.fence.Version() {
		return nil
	}
	wanted := make(map[ident.Ident]member.Member)
	for _, p := range g.preds {
		for _, one := range p.members {
			wanted[one.Ident()] = one
		}
	}
	for _, one := range g.fence.Map().Members() {
		wanted[one.Ident()] = one
	}
	var asks []member.Member
	for _, id := range slices.SortedFunc(maps.Keys(wanted), ident.Ident.Compare) {
		if _, ok := g.rosters[id]; !ok && !g.ended[id] && id != g.cfg.Self.Ident() {
			asks = append(asks, wanted[id])
		}
	}
	return asks
}

func (g *Group) forget(now time.Time) {
	for agent, heard := range g.known {
		if now.Sub(heard) > g.cfg.wait()+g.cfg.Lifetime {
			delete(g.known, agent)
		}
	}
}
