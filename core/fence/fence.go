package fence

// An agent may start a task for an owner only while the map that names this owner can't have been superseded by a finished
// takeover. A takeover finishes after enough members have left the old map that no majority of it can answer any more, and the
// grace G has passed. So it is enough that a majority of one map's members has answered stamps younger than G while carrying
// exactly this map. The age is that of the stamp, which this process made with its own clock before the member answered;
// arrival times say nothing, since an answer may be delayed without bound.
//
// The map before the newest one counts too, for shards that the newest leaves with the same owner and epoch: its majority is
// just as strong a proof, and without it every change of the map would stop all starts for a heartbeat.

import (
	"time"

	"persimmonstage/core/ident"
	"persimmonstage/core/shards"
)

// Fence is the newest shard map that a process has heard of and the proof that it is still in force; the zero value admits
// nothing.
//
// The caller delivers Adopt for each map that it gets and Answer for each answer to a heartbeat, and fetches a map when Answer
// says that there is a newer one. All times come from one clock of this process that also counts suspended time.
type Fence struct {
	grace time.Duration
	cur   *view
	prior *view
}

type view struct {
	m      *shards.Map
	stamps []time.Time // per member, the youngest stamp answered while carrying m
	pool   map[ident.Ident]int
}

// New returns a fence that trusts an answer for the grace after its stamp was made.
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

// Adopt takes a map if it is newer than the present one, and reports whether it did.
func (f *Fence) Adopt(m *shards.Map) bool {
	if m.Version() <= f.Version() {
		return false
	}
	f.prior, f.cur = f.cur, newView(m)
	return true
}

// AddAnswer takes a member's answer to a heartbeat: the stamp that this process made and the version of the map that the member
// carried when it answered. It reports whether the member carries a newer map, which the caller then fetches from it.
func (f *Fence) AddAnswer(now time.Time, from ident.Ident, version int64, stamp time.Time) (newer bool) {
	if stamp.After(now) {
		return false
	}
	f.cur.answer(from, version, stamp)
	f.prior.answer(from, version, stamp)
	return version > f.Version()
}

// Admit returns nil if this process may start a task now for the owner incarnation of a shard under an epoch, else a *Refusal;
// call it again immediately before each start.
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
	if f.cur.fresh(now, f.grace) || f.prior.same(m, shard) && f.prior.fresh(now, f.grace) {
		return nil
	}
	return f.refuse(NoMajority, shard, epoch, now)
}

// Answered returns how many members of the newest map have answered stamps younger than the grace while carrying it.
func (f *Fence) Answered(now time.Time) int { return f.cur.heard(now, f.grace) }

func (f *Fence) refuse(reason Reason, shard int, epoch uint64, now time.Time) error {
	return &Refusal{Reason: reason, Shard: shard, Epoch: epoch, Version: f.Version(), Answered: f.Answered(now)}
}

func newView(m *shards.Map) *view {
	v := &view{m: m, stamps: make([]time.Time, m.Size()), pool: make(map[ident.Ident]int, m.Size())}
	for i, id := range m.Idents() {
		v.pool[id] = i
	}
	return v
}

func (v *view) answer(from ident.Ident, version int64, stamp time.Time) {
	if v == nil || v.m.Version() != version {
		return
	}
	if i, ok := v.pool[from]; ok && stamp.After(v.stamps[i]) {
		v.stamps[i] = stamp
	}
}

func (v *view) heard(now time.Time, grace time.Duration) int {
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

func (v *view) fresh(now time.Time, grace time.Duration) bool {
	return v != nil && v.heard(now, grace) >= shards.Majority(len(v.stamps))
}

func (v *view) same(m *shards.Map, shard int) bool {
	return v != nil && v.m.Epoch(shard) == m.Epoch(shard) && v.m.Owner(shard) == m.Owner(shard)
}
