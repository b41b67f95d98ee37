package group

import (
	"slices"
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/member"
)

const forgetPeers = 10 // suspect timeouts of silence after which a peer that isn't a member is removed

// Heartbeat is one entry's heartbeat to another. Each process evaluates only stamps of its own clock; the other process just
// returns them.
type Heartbeat struct {
	From      member.Member
	To        ident.Ident   // the receiver's incarnation; zero only if the connection is known to end there
	Stamp     time.Time     // of the sender's clock
	Echo      time.Time     // of the receiver's clock: its latest stamp received by the sender, zero if none
	Version   int64         // the map that the sender carries
	Reachable []ident.Ident // entries that exchanged heartbeats with the sender in both directions within the suspect timeout
}

// HandleHeartbeat processes a peer's heartbeat, unless it was sent to an earlier process on the same addresses. It reports
// whether the peer carries a newer map, which the caller then fetches from it and passes to AdoptFromPeer.
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
		p.stamp, p.lastBeat, p.reachable = b.Stamp, now, b.Reachable
	}
	g.fence.AddAnswer(now, id, b.Version, b.Echo)
	g.markReplaced(p)
	g.seal(now)
	return b.Version > g.fence.Version()
}

// markReplaced marks the members whose addresses the peer has bound as dead. The returned stamp proves that the peer was alive
// after the member was first seen, so that a delayed heartbeat of an earlier incarnation isn't taken for a restart.
func (g *Group) markReplaced(p *peer) {
	for _, one := range g.knownMembers() {
		if p.member.Replaces(one) && !p.echoed.Before(g.since[one.Ident()]) {
			g.ended[one.Ident()] = true
		}
	}
}

// knownMembers returns the members of the current map and of the earlier ones.
func (g *Group) knownMembers() []member.Member {
	if g.fence.Map() == nil {
		return nil
	}
	all := g.fence.Map().Members()
	for _, p := range g.earlier {
		all = append(all, p.members...)
	}
	return all
}

// Send is a heartbeat and its receiver.
type Send struct {
	To        member.Member
	Heartbeat Heartbeat
}

// beats returns a heartbeat for each member and each other entry that has sent one recently.
func (g *Group) beats(now time.Time) []Send {
	to := make(map[ident.Ident]member.Member)
	for _, one := range g.knownMembers() {
		if !g.ended[one.Ident()] {
			to[one.Ident()] = one
		}
	}
	for id, p := range g.peers {
		to[id] = p.member
	}
	delete(to, g.cfg.Self.Ident())
	reachable := g.mutuallyReachable(now)
	sends := make([]Send, 0, len(to))
	for id, one := range to {
		b := Heartbeat{From: g.cfg.Self, To: id, Stamp: now, Version: g.Version(), Reachable: reachable}
		if p := g.peers[id]; p != nil {
			b.Echo = p.stamp
		}
		sends = append(sends, Send{To: one, Heartbeat: b})
	}
	slices.SortFunc(sends, func(a, b Send) int { return a.To.Ident().Compare(b.To.Ident()) })
	return sends
}

// forgetPeers removes silent peers that are in neither the current nor an earlier map.
func (g *Group) forgetPeers(now time.Time) {
	for id, p := range g.peers {
		if now.Sub(p.lastBeat) < forgetPeers*g.cfg.Suspect {
			continue
		}
		if !slices.ContainsFunc(g.knownMembers(), func(one member.Member) bool { return one.Ident() == id }) {
			delete(g.peers, id)
		}
	}
}
