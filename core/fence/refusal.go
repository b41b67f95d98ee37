package fence

import "fmt"

// Reason is why a start isn't admitted; its text is sent on the wire.
type Reason string

// The reasons. A start refused for a temporary reason may wait in the queue; the others are final for this sender.
const (
	NoMap        Reason = "no-map"        // temporary: no shard map received yet
	NoMajority   Reason = "no-majority"   // temporary: too few members answered within the grace
	NewerEpoch   Reason = "newer-epoch"   // temporary: the sender has a newer map, which must be fetched
	OldEpoch     Reason = "old-epoch"     // final: the shard has a newer epoch
	NotOwner     Reason = "not-owner"     // final: the epoch belongs to another incarnation
	UnknownShard Reason = "unknown-shard" // final: the map has no such shard
)

// Temporary reports whether the same start may be admitted later.
func (r Reason) Temporary() bool { return r == NoMap || r == NoMajority || r == NewerEpoch }

// Refusal is the error for a start that wasn't admitted; it proves that this attempt has started nothing.
type Refusal struct {
	Reason   Reason
	Shard    int    // the requested shard
	Epoch    uint64 // the epoch of the request
	Version  int64  // the newest map adopted, 0 if none
	Answered int    // members of that map that answered within the grace
}

// Error returns the reason with its details in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s: shard %d epoch %d, map version %d, heard %d members", r.Reason, r.Shard, r.Epoch, r.Version, r.Answered)
}
