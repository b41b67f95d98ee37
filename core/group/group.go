package group

// The group is stepped by one goroutine. Its inputs are the log's records in order, the peers' heartbeats and rosters, and the
// passing of time; its output is what Tick returns. It decides only who is a member. What a new owner does with a shard is the
// business of package recov, which asks this package for two facts: since when no agent obeys an earlier map (Fenced), and which
// agents may have started something under one (Agents).
//
// The fence type of the agents is used here as well, on this entry's own stamps: it tells whether this entry may still claim to
// own a shard.

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/fence"
	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// Group is one entry's view of the entries.
//
// The process must be bound to its listen addresses before New and until its end, without port sharing: that a second process
// listens there is taken as proof that the first has ended. It must call Known before it answers an agent's heartbeat, and answer
// with Version as of the moment of answering.
type Group struct {
	cfg      Config
	entry    life
	proposal life
	fence    *fence.Fence
	adopted  time.Time
	first    int64 // offset of the first record read from the log

	peers map[ident.Ident]*peer
	since map[ident.Ident]time.Time // when a member was first seen in a map
	ended map[ident.Ident]bool      // members known to be dead

	preds    []pred // earlier maps, oldest first, contiguous from chain up to the present map
	chain    int64
	informed int64 // known covers every agent that may have obeyed a map below this version
	known    map[ident.Ident]time.Time
	rosters  map[ident.Ident]Roster
	gains    map[int]Gain

	retired  map[ident.Ident]bool // by an operator's word
	pending  Append
	ticked   time.Time // the latest Tick
	amnesty  time.Time // silence before this moment doesn't count
	nextBeat time.Time
	nextTry  time.Time
}

type peer struct {
	member  member.Member
	heard   time.Time // arrival of the youngest beat
	stamp   time.Time // the peer's stamp in it
	echoed  time.Time // the youngest of our stamps that it has returned
	version int64
	hears   []ident.Ident
}

// New returns the group of an entry that has read nothing of the log yet.
func New(cfg Config) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:      cfg,
		entry:    newLife(entryChart),
		proposal: newLife(appendChart),
		fence:    fence.New(cfg.Grace),
		peers:    make(map[ident.Ident]*peer),
		since:    make(map[ident.Ident]time.Time),
		ended:    make(map[ident.Ident]bool),
		known:    make(map[ident.Ident]time.Time),
		rosters:  make(map[ident.Ident]Roster),
		gains:    make(map[int]Gain),
		retired:  make(map[ident.Ident]bool),
	}
}

// Self returns this process's own description.
func (g *Group) Self() member.Member { return g.cfg.Self }

// State returns the state of the entry chart: reading, outside, member, leaving or left.
func (g *Group) State() string { return g.entry.state }

// Proposal returns the state of the append chart: idle, appending or finding.
func (g *Group) Proposal() string { return g.proposal.state }

// Map returns the map that this process carries, or nil. While the log is still being read there is none to show, since a record
// at the log's cut-off beginning may turn out to be void.
func (g *Group) Map() *shards.Map {
	if g.entry.state == "reading" {
		return nil
	}
	return g.fence.Map()
}

// Version returns the version of Map, or 0; answers to agents return it.
func (g *Group) Version() int64 {
	if m := g.Map(); m != nil {
		return m.Version()
	}
	return 0
}

// Holds reports whether this entry owns a shard and no other entry can have begun to serve it; only then may "not run" be said
// of a job of the shard.
func (g *Group) Holds(now time.Time, shard int) bool {
	gain, ok := g.gains[shard]
	if !ok {
		return false
	}
	self := g.cfg.Self.Ident()
	g.fence.AddAnswer(now, self, g.fence.Version(), now)
	return g.fence.Admit(now, shard, gain.Epoch, self.Incarnation) == nil
}

// Alive returns the members and other entries heard within the suspect timeout, this one included, in the order of their names.
func (g *Group) Alive(now time.Time) []ident.Ident {
	alive := []ident.Ident{g.cfg.Self.Ident()}
	for id, p := range g.peers {
		if now.Sub(p.heard) < g.cfg.Suspect {
			alive = append(alive, id)
		}
	}
	slices.SortFunc(alive, ident.Ident.Compare)
	return alive
}

// Gain is a shard that this entry has come to own.
type Gain struct {
	Shard   int
	Epoch   uint64
	Version int64       // the map that gave it
	From    ident.Ident // the owner in the map that this process carried before, zero if none
	First   bool        // the log's first map gave it: there was no owner before
}

// Gains returns the shards that this entry owns under the map that it carries, in ascending order.
func (g *Group) Gains() []Gain {
	gains := slices.Collect(maps.Values(g.gains))
	slices.SortFunc(gains, func(a, b Gain) int { return a.Shard - b.Shard })
	return gains
}
