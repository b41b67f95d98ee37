package group

import (
	"time"

	"persimmonstage/core/member"
)

// Effects lists what the caller must do after a Tick.
type Effects struct {
	Heartbeats     []Send          // heartbeats to send; loss is harmless
	Append         *Append         // a record to append; report the outcome with AppendRefused, AppendLost or by reading the record
	ReadToEnd      bool            // read the log up to its current end, then call ReachedEnd
	RosterRequests []member.Member // entries to request a roster from
}

// Append is a record for the log.
type Append struct {
	ID     string
	Record []byte
}

// Tick must be called several times per heartbeat interval; newID generates the unique id of a proposal.
func (g *Group) Tick(now time.Time, newID func() string) Effects {
	if now.Sub(g.ticked) > g.cfg.Suspect/2 {
		g.silenceFrom = now // this process was paused or has just started, so its peers weren't silent
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
		g.advanceInformed()
		e.RosterRequests = g.wantedRosters()
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

// AppendRefused reports that the log has certainly not stored the record.
func (g *Group) AppendRefused(id string) { g.end(id, "refused") }

// AppendLost reports that the answer to the append was lost: the record may be in the log or may still arrive there.
func (g *Group) AppendLost(id string) { g.end(id, "lost") }

// ReachedEnd reports that the log has been read up to the end that it had when Tick set ReadToEnd.
func (g *Group) ReachedEnd() { g.proposal.raise("reached-end") }

func (g *Group) end(id, event string) {
	if id == g.pending.ID {
		g.proposal.raise(event)
	}
}

// Leave starts a graceful departure; the process keeps answering for the grace after Left, so that the others see that it carries
// the map without itself.
func (g *Group) Leave() { g.entry.raise("leave") }

// Left reports whether this process has left the map or was never in it.
func (g *Group) Left() bool { return g.entry.chart.Final(g.entry.state) }

// Retire marks every known incarnation of an entry as dead on an operator's request, and reports whether there is any; the next
// map records it.
func (g *Group) Retire(name string) bool {
	found := false
	for _, one := range g.knownMembers() {
		if one.Name == name && one != g.cfg.Self {
			g.ended[one.Ident()] = true
			g.retired[one.Ident()] = true
			found = true
		}
	}
	return found
}
