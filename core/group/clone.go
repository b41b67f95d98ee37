package group

import (
	"maps"
	"slices"

	"persimmonstage/core/ident"
)

// Clone returns an independent copy.
func (g *Group) Clone() *Group {
	c := *g
	c.fence = g.fence.Clone()
	c.peers = make(map[ident.Ident]*peer, len(g.peers))
	for id, p := range g.peers {
		one := *p
		c.peers[id] = &one
	}
	c.since = maps.Clone(g.since)
	c.ended = maps.Clone(g.ended)
	c.earlier = slices.Clone(g.earlier)
	c.agentsSeen = maps.Clone(g.agentsSeen)
	c.rosters = maps.Clone(g.rosters)
	c.gains = maps.Clone(g.gains)
	c.retired = maps.Clone(g.retired)
	return &c
}
