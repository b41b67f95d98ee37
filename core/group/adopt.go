package group

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/shards"
)

// ReadRecord takes the next record of the map's stream; offset is its place in the log, counted from 1. A record whose base isn't the
// current version is void and changes nothing. The error tells of a record that can't be read, which is void as well.
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

// AdoptFromPeer takes a map that a peer carries, which a peer does only after it has read it from the log or learned it in turn.
func (g *Group) AdoptFromPeer(now time.Time, m *shards.Map) {
	if m.Version() > g.fence.Version() {
		g.adopt(now, m)
	}
}

// CaughtUp says that the log has been read up to the end that it had after this process started.
func (g *Group) CaughtUp(now time.Time) {
	g.entry.raise("caught-up")
	if m := g.fence.Map(); m != nil && m.Has(g.cfg.Self.Ident()) {
		g.entry.raise("included")
	}
	g.amnesty = now
}

// follows tells a valid record from a void one. Where the log has dropped its oldest records, the first base can't be checked;
// there the record with the highest base wins, since nobody proposes on a version that wasn't valid.
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
	g.link(now, before, m)
	g.fence.Adopt(m)
	g.adopted = now
	clear(g.rosters)
	for _, id := range m.Ended() {
		g.ended[id] = true
	}
	g.meet(now, m)
	g.gain(before, m)
	if m.Has(g.cfg.Self.Ident()) {
		g.entry.raise("included")
	} else {
		g.entry.raise("excluded")
	}
	g.seal(now)
}

// meet notes when each member was first seen, and those whose addresses this process has bound as dead.
func (g *Group) meet(now time.Time, m *shards.Map) {
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

func (g *Group) gain(before, m *shards.Map) {
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
