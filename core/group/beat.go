package group

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

const forgetPeers = 10 // suspect timeouts of silence after which a process that is no member is forgotten

// Heartbeat is one entry's heartbeat to another. Stamps are made and judged by the process whose clock they are of, and only
// returned by the other.
type Heartbeat struct {
	From      member.Member
	To        ident.Ident   // the incarnation that it is meant for; zero only if the connection is known to end there
	Stamp     time.Time     // of the sender's clock
	Echo      time.Time     // of the receiver's clock: its youngest stamp that the sender has heard, zero if none
	Version   int64         // the map that the sender carries
	Reachable []ident.Ident // entries that hear the sender and were heard by it within the suspect timeout
}

// HandleHeartbeat takes a peer's heartbeat, unless it is meant for an earlier process on the same addresses, and reports whether the peer carries a newer map, which the caller then fetches from it and
// gives to Learn.
func (g *Group) HandleHeartbeat(now time.Time, b Heartbeat) (newer bool) {
	id := b.From.Ident()
	if id == g.cfg.Self.Ident() || b.Echo.After(now) || !b.To.IsZero() && b.To != g.cfg.Self.Ident() {
		return false
	}
	p := g.peers[id]
	if p == nil {
		p = &peer{member: b.From}
		g.peers[id] = p
	}
	p.version = max(p.version, b.Version)
	if b.Echo.After(p.echoed) {
		p.echoed = b.Echo
	}
	if b.Stamp.After(p.stamp) {
		p.stamp, p.heard, p.hears = b.Stamp, now, b.Reachable
	}
	g.fence.AddAnswer(now, id, b.Version, b.Echo)
	g.bury(p)
	g.seal(now)
	return b.Version > g.fence.Version()
}

// bury notes the members whose addresses the peer has bound. The returned stamp proves that the peer was alive after the member
// was, so that a delayed heartbeat of an earlier incarnation can't pass for a restart.
func (g *Group) bury(p *peer) {
	for _, one := range g.everyone() {
		if p.member.Replaces(one) && !p.echoed.Before(g.since[one.Ident()]) {
			g.ended[one.Ident()] = true
		}
	}
}

// everyone returns the members of the present map and of the earlier ones.
func (g *Group) everyone() []member.Member {
	if g.fence.Map() == nil {
		return nil
	}
	all := g.fence.Map().Members()
	for _, p := range g.preds {
		all = append(all, p.members...)
	}
	return all
}

// Send is a heartbeat and the entry that it goes to.
type Send struct {
	To        member.Member
	Heartbeat Heartbeat
}

// beats returns a heartbeat for each member and each other entry heard of lately.
func (g *Group) beats(now time.Time) []Send {
	to := make(map[ident.Ident]member.Member)
	for _, one := range g.everyone() {
		if !g.ended[one.Ident()] {
			to[one.Ident()] = one
		}
	}
	for id, p := range g.peers {
		to[id] = p.member
	}
	delete(to, g.cfg.Self.Ident())
	hears := g.answering(now)
	sends := make([]Send, 0, len(to))
	for id, one := range to {
		b := Heartbeat{From: g.cfg.Self, To: id, Stamp: now, Version: g.Version(), Reachable: hears}
		if p := g.peers[id]; p != nil {
			b.Echo = p.stamp
		}
		sends = append(sends, Send{To: one, Heartbeat: b})
	}
	slices.SortFunc(sends, func(a, b Send) int { return a.To.Ident().Compare(b.To.Ident()) })
	return sends
}

// forgetPeers drops processes that are silent and no longer matter to any map.
func (g *Group) forgetPeers(now time.Time) {
	for id, p := range g.peers {
		if now.Sub(p.heard) < forgetPeers*g.cfg.Suspect {
			continue
		}
		if !slices.ContainsFunc(g.everyone(), func(one member.Member) bool { return one.Ident() == id }) {
			delete(g.peers, id)
		}
	}
}
