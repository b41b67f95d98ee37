package fence

// An agent may start a task for an owner only while the map that names this owner can't have been superseded by a completed
// takeover. A takeover completes once so many members have left the old map that no majority of it can answer any more, and the
// grace period G has passed since. It is therefore sufficient that a majority of a map's members, while carrying exactly this
// map, has answered stamps younger than G. A stamp is made with this process's clock before the member answers; arrival times
// can't be used, since an answer may be delayed for any time.
//
// The map before the newest one counts too, for shards that keep their owner and epoch in the newest: its majority is an equally
// strong proof, and without it every map change would stop all starts for one heartbeat.

import (
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/shards"
)

// Fence holds the newest shard map that a process has received and the proof that it is still in force; the zero value admits
// nothing.
//
// Call Adopt for each map received and AddAnswer for each answer to a heartbeat, and fetch a map when AddAnswer reports a newer
// one. All times come from one clock of this process that also counts suspended time.
type Fence struct {
	grace time.Duration
	cur   *view
	prior *view
}

type view struct {
	m      *shards.Map
	stamps []time.Time // per member, the latest stamp answered while carrying m
	index  map[ident.Ident]int
}

// New returns a fence that accepts an answer for the grace period after its stamp was made.
func New(grace time.Duration) *Fence { return &Fence{grace: grace} }

// Version returns the version of the newest map adopted, or 0.
func (f *Fence) Version() int64 {
	if f.cur == nil {
		return 0
	}
	return f.cur.m.Version()
}

// Map returns the newest map adopted, or nil.
func (f *Fence) Map() *shards.Map {
	if f.cur == nil {
		return nil
	}
	return f.cur.m
}

// Adopt replaces the map if the given one is newer, and reports whether it did.
func (f *Fence) Adopt(m *shards.Map) bool {
	if m.Version() <= f.Version() {
		return false
	}
	f.prior, f.cur = f.cur, newView(m)
	return true
}

// AddAnswer records a member's answer to a heartbeat: the stamp made by this process and the version of the map that the member
// carried when it answered. It reports whether the member carries a newer map, which the caller then fetches from it.
func (f *Fence) AddAnswer(now time.Time, from ident.Ident, version int64, stamp time.Time) (newer bool) {
	if stamp.After(now) {
		return false
	}
	f.cur.answer(from, version, stamp)
	f.prior.answer(from, version, stamp)
	return version > f.Version()
}

// Admit returns nil if this process may now start a task for the given owner incarnation, shard and epoch, else a *Refusal; it
// must be called immediately before each start.
func (f *Fence) Admit(now time.Time, shard int, epoch uint64, owner string) error {
	if f.cur == nil {
		return f.refuse(NoMap, shard, epoch, now)
	}
	m := f.cur.m
	switch have := m.Epoch(shard); {
	case have == 0:
		return f.refuse(UnknownShard, shard, epoch, now)
	case epoch > have:
		return f.refuse(NewerEpoch, shard, epoch, now)
	case epoch < have:
		return f.refuse(OldEpoch, shard, epoch, now)
	}
	if m.Owner(shard).Incarnation != owner {
		return f.refuse(NotOwner, shard, epoch, now)
	}
	if f.cur.hasMajority(now, f.grace) || f.prior.sameOwner(m, shard) && f.prior.hasMajority(now, f.grace) {
		return nil
	}
	return f.refuse(NoMajority, shard, epoch, now)
}

// Answered returns the number of members of the newest map that have answered stamps younger than the grace while carrying it.
func (f *Fence) Answered(now time.Time) int { return f.cur.answered(now, f.grace) }

func (f *Fence) refuse(reason Reason, shard int, epoch uint64, now time.Time) error {
	return &Refusal{Reason: reason, Shard: shard, Epoch: epoch, Version: f.Version(), Answered: f.Answered(now)}
}

func newView(m *shards.Map) *view {
	v := &view{m: m, stamps: make([]time.Time, m.Size()), index: make(map[ident.Ident]int, m.Size())}
	for i, id := range m.Idents() {
		v.index[id] = i
	}
	return v
}

func (v *view) answer(from ident.Ident, version int64, stamp time.Time) {
	if v == nil || v.m.Version() != version {
		return
	}
	if i, ok := v.index[from]; ok && stamp.After(v.stamps[i]) {
		v.stamps[i] = stamp
	}
}

func (v *view) answered(now time.Time, grace time.Duration) int {
	if v == nil {
		return 0
	}
	n := 0
	for _, stamp := range v.stamps {
		if !stamp.IsZero() && now.Sub(stamp) < grace {
			n++
		}
	}
	return n
}

func (v *view) hasMajority(now time.Time, grace time.Duration) bool {
	return v != nil && v.answered(now, grace) >= shards.Majority(len(v.stamps))
}

func (v *view) sameOwner(m *shards.Map, shard int) bool {
	return v != nil && v.m.Epoch(shard) == m.Epoch(shard) && v.m.Owner(shard) == m.Owner(shard)
}
