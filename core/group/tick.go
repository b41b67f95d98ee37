package group

import (
	"time"

	"persimmonstage/core/member"
)

// Effects is what the caller must carry out after a Tick.
type Effects struct {
	Heartbeats     []Send          // heartbeats to send; loss is harmless
	Append         *Append         // a record to append; the end is told by Refused, Lost, or the record being read
	ReadToEnd      bool            // read the log up to the end that it has now, then call ReachedEnd
	RosterRequests []member.Member // entries to ask for their roster
}

// Append is a record for the log.
type Append struct {
	ID     string
	Record []byte
}

// Tick is called several times in each heartbeat interval; newID draws the unique id of a proposal.
func (g *Group) Tick(now time.Time, newID func() string) Effects {
	if now.Sub(g.ticked) > g.cfg.Suspect/2 {
		g.amnesty = now // this process was paused or has just begun: its peers weren't silent
	}
	g.ticked = now
	g.seal(now)
	g.forget(now)
	g.forgetPeers(now)
	var e Effects
	if !now.Before(g.nextBeat) {
		g.nextBeat = now.Add(g.cfg.HeartbeatInterval)
		e.Heartbeats = g.beats(now)
	}
	if !now.Before(g.nextTry) {
		g.nextTry = now.Add(g.cfg.HeartbeatInterval)
		g.act(now, newID, &e)
	}
	return e
}

func (g *Group) act(now time.Time, newID func() string, e *Effects) {
	if g.fence.Map() != nil {
		g.inform()
		e.RosterRequests = g.asks()
	}
	if g.proposal.state == "finding" {
		e.ReadToEnd = true
		return
	}
	if g.proposal.state != "idle" {
		return
	}
	for _, action := range g.entry.raise("due") {
		m := g.propose(now, action, newID)
		if m == nil {
			continue
		}
		g.pending = Append{ID: m.ID(), Record: record(m)}
		g.proposal.raise("propose")
		e.Append = &g.pending
	}
}

// AppendRefused says that the log has surely not taken the record.
func (g *Group) AppendRefused(id string) { g.end(id, "refused") }

// AppendLost says that the answer to the append was lost, so that the record may be in the log or may still get there.
func (g *Group) AppendLost(id string) { g.end(id, "lost") }

// ReachedEnd says that the log has been read up to the end that it had when Tick asked for it.
func (g *Group) ReachedEnd() { g.proposal.raise("reached-end") }

func (g *Group) end(id, event string) {
	if id == g.pending.ID {
		g.proposal.raise(event)
	}
}

// Leave begins an orderly departure; the process goes on answering for the grace after Left, so that the others see that it
// carries the map without it.
func (g *Group) Leave() { g.entry.raise("leave") }

// Left reports whether this process has left the map, or never was in it.
func (g *Group) Left() bool { return g.entry.chart.Final(g.entry.state) }

// Retire takes an operator's word that every incarnation known of an entry is dead, and reports whether any is known. The word
// goes into the next map.
func (g *Group) Retire(name string) bool {
	found := false
	for _, one := range g.everyone() {
		if one.Name == name && one != g.cfg.Self {
			g.ended[one.Ident()] = true
			g.retired[one.Ident()] = true
			found = true
		}
	}
	return found
}
