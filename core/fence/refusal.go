package fence

import "fmt"

// Reason says why a start isn't admitted; its text goes on the wire.
type Reason string

// The reasons. Temporary ones may pass, so that a queued start waits; the others are final for this sender.
const (
	NoMap        Reason = "no-map"        // temporary: no shard map heard yet
	NoMajority   Reason = "no-majority"   // temporary: too few members answered within the grace
	NewerEpoch   Reason = "newer-epoch"   // temporary: the sender knows a newer map, to be fetched
	OldEpoch     Reason = "old-epoch"     // final: the shard has moved on
	NotOwner     Reason = "not-owner"     // final: the epoch belongs to another incarnation
	UnknownShard Reason = "unknown-shard" // final: the map has no such shard
)

// Temporary reports whether the same start may be admitted later.
func (r Reason) Temporary() bool { return r == NoMap || r == NoMajority || r == NewerEpoch }

// Refusal is the error of a start that wasn't admitted; it proves that this attempt has started nothing.
type Refusal struct {
	Reason   Reason // why
	Shard    int    // the shard asked for
	Epoch    uint64 // the epoch asked under
	Version  int64  // the newest map adopted, 0 if none
	Answered int    // members of it that answered within the grace
}

// Error returns the reason and the figures behind it in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s: shard %d epoch %d, map version %d, heard %d members", r.Reason, r.Shard, r.Epoch, r.Version, r.Answered)
}
