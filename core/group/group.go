package group

// The group is driven by one goroutine. Its inputs are the log's records in order, the peers' heartbeats and rosters, and the
// time; its output is the result of Tick. It decides only about membership. Package recov recovers the shards of a new owner and
// needs two facts from this package: the time since when no agent accepts an earlier map (Fenced), and the agents that may have
// started tasks under one (Agents).
//
// The fence type of the agents is used here too, with this entry's own stamps, to check whether this entry still owns a shard.

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/fence"
	"persimmonstage/core/ident"
	"persimmonstage/core/member"
	"persimmonstage/core/shards"
)

// Group is one entry's view of the shard map's members.
//
// The process must be bound to its listen addresses before New and until its end, without port sharing, because a second process
// that listens there proves that the first has ended. It must call NoteAgent before it answers an agent's heartbeat, and answer
// with the Version at the time of the answer.
type Group struct {
	cfg      Config
	entry    machine
	proposal machine
	fence    *fence.Fence
	adopted  time.Time
	first    int64 // offset of the first record read from the log

	peers map[ident.Ident]*peer
	since map[ident.Ident]time.Time // when a member was first seen in a map
	ended map[ident.Ident]bool      // members known to be dead

	earlier    []earlierMap // earlier maps, oldest first, contiguous from chainStart up to the current map
	chainStart int64
	informed   int64 // agentsSeen includes every agent that may have accepted a map below this version
	agentsSeen map[ident.Ident]time.Time
	rosters    map[ident.Ident]Roster
	gains      map[int]Gain

	retired     map[ident.Ident]bool // declared dead by an operator
	pending     Append
	ticked      time.Time // the latest Tick
	silenceFrom time.Time // silence before this time doesn't count
	nextBeat    time.Time
	nextTry     time.Time
}

type peer struct {
	member    member.Member
	lastBeat  time.Time // arrival of the latest heartbeat
	stamp     time.Time // the peer's stamp in it
	echoed    time.Time // the latest of our stamps that it has returned
	version   int64
	reachable []ident.Ident
}

// New returns the group of an entry that hasn't read any of the log yet.
func New(cfg Config) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:        cfg,
		entry:      newMachine(entryChart),
		proposal:   newMachine(appendChart),
		fence:      fence.New(cfg.Grace),
		peers:      make(map[ident.Ident]*peer),
		since:      make(map[ident.Ident]time.Time),
		ended:      make(map[ident.Ident]bool),
		agentsSeen: make(map[ident.Ident]time.Time),
		rosters:    make(map[ident.Ident]Roster),
		gains:      make(map[int]Gain),
		retired:    make(map[ident.Ident]bool),
	}
}

// Self returns the description of this process.
func (g *Group) Self() member.Member { return g.cfg.Self }

// State returns the state of the entry chart: reading, outside, member, leaving or left.
func (g *Group) State() string { return g.entry.state }

// Proposal returns the state of the append chart: idle, appending or finding.
func (g *Group) Proposal() string { return g.proposal.state }

// Map returns the map that this process carries, or nil. It is nil while the log is still being read, since a record at a
// truncated beginning of the log may turn out to be void.
func (g *Group) Map() *shards.Map {
	if g.entry.state == "reading" {
		return nil
	}
	return g.fence.Map()
}

// Version returns the version of Map, or 0; it is sent in the answers to agents.
func (g *Group) Version() int64 {
	if m := g.Map(); m != nil {
		return m.Version()
	}
	return 0
}

// Holds reports whether this entry owns a shard and no other entry can have begun to serve it; only then may a job of the shard
// be answered "not run".
func (g *Group) Holds(now time.Time, shard int) bool {
	gain, ok := g.gains[shard]
	if !ok {
		return false
	}
	self := g.cfg.Self.Ident()
	g.fence.AddAnswer(now, self, g.fence.Version(), now)
	return g.fence.Admit(now, shard, gain.Epoch, self.Incarnation) == nil
}

// Alive returns this entry and all entries whose heartbeat arrived within the suspect timeout, ordered by name.
func (g *Group) Alive(now time.Time) []ident.Ident {
	alive := []ident.Ident{g.cfg.Self.Ident()}
	for id, p := range g.peers {
		if now.Sub(p.lastBeat) < g.cfg.Suspect {
			alive = append(alive, id)
		}
	}
	slices.SortFunc(alive, ident.Ident.Compare)
	return alive
}

// Gain is a shard that was assigned to this entry.
type Gain struct {
	Shard   int
	Epoch   uint64
	Version int64       // the version of the map that assigned it
	From    ident.Ident // the owner in the map that this process carried before; zero if none
	First   bool        // assigned by the log's first map, so that there was no earlier owner
}

// Gains returns the shards that this entry owns under the map that it carries, in ascending order.
func (g *Group) Gains() []Gain {
	gains := slices.Collect(maps.Values(g.gains))
	slices.SortFunc(gains, func(a, b Gain) int { return a.Shard - b.Shard })
	return gains
}
