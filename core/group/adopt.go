package group

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/shards"
)

// ReadRecord processes the next record of the map's stream; offset is its position in the log, from 1. A record whose base isn't
// the current version is void and changes nothing; so is one that can't be decoded, for which an error is returned.
func (g *Group) ReadRecord(now time.Time, offset int64, record []byte) error {
	var m shards.Map
	if err := json.Unmarshal(record, &m); err != nil {
		return errors.Wrapf(err, "record %d", offset)
	}
	if g.first == 0 {
		g.first = offset
	}
	if offset > g.fence.Version() && g.follows(&m) {
		g.adopt(now, m.At(offset))
	}
	if m.ID() == g.pending.ID {
		g.proposal.raise("read-own")
	}
	return nil
}

// AdoptFromPeer adopts a newer map from a peer, which has read it from the log or adopted it from a peer itself.
func (g *Group) AdoptFromPeer(now time.Time, m *shards.Map) {
	if m.Version() > g.fence.Version() {
		g.adopt(now, m)
	}
}

// CaughtUp must be called when the log has been read up to the end that it had when this process started.
func (g *Group) CaughtUp(now time.Time) {
	g.entry.raise("caught-up")
	if m := g.fence.Map(); m != nil && m.Has(g.cfg.Self.Ident()) {
		g.entry.raise("included")
	}
	g.silenceFrom = now
}

// follows reports whether a record is valid. If the log has dropped its oldest records, the first base can't be checked; then the
// record with the highest base wins, since no entry proposes a map on top of an invalid version.
func (g *Group) follows(m *shards.Map) bool {
	if m.Base() == g.fence.Version() {
		return true
	}
	if g.entry.state != "reading" || m.Base() >= g.first {
		return false
	}
	return g.fence.Map() == nil || g.fence.Map().Base() < m.Base()
}

func (g *Group) adopt(now time.Time, m *shards.Map) {
	before := g.fence.Map()
	g.addEarlierMaps(now, before, m)
	g.fence.Adopt(m)
	g.adopted = now
	clear(g.rosters)
	for _, id := range m.Ended() {
		g.ended[id] = true
	}
	g.noteMembers(now, m)
	g.updateGains(before, m)
	if m.Has(g.cfg.Self.Ident()) {
		g.entry.raise("included")
	} else {
		g.entry.raise("excluded")
	}
	g.seal(now)
}

// noteMembers records when each member was first seen, and marks the members whose addresses this process has bound as dead.
func (g *Group) noteMembers(now time.Time, m *shards.Map) {
	all := m.Members()
	for _, o := range m.Unsealed() {
		all = append(all, o.Members...)
	}
	for _, one := range all {
		if _, ok := g.since[one.Ident()]; !ok {
			g.since[one.Ident()] = now
		}
		if g.cfg.Self.Replaces(one) {
			g.ended[one.Ident()] = true
		}
	}
}

func (g *Group) updateGains(before, m *shards.Map) {
	self := g.cfg.Self.Ident()
	for shard := range m.Shards() {
		epoch := m.Epoch(shard)
		if m.Owner(shard) != self {
			delete(g.gains, shard)
			continue
		}
		if have, ok := g.gains[shard]; ok && have.Epoch == epoch {
			continue
		}
		gain := Gain{Shard: shard, Epoch: epoch, Version: m.Version(), First: m.Base() == 0}
		if before != nil {
			gain.From = before.Owner(shard)
		}
		g.gains[shard] = gain
	}
}
