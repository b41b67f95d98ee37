package offer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// activeWindow is how long after its last order an entry counts as active.
const activeWindow = time.Second

// Offer holds the order in which entries are offered room; create it with New.
type Offer struct {
	rng       *rand.Rand
	lastOrder map[string]time.Time // time of the last order, by entry
	order     []string
	offered   int // number of entries of order that have been offered the room
}

// New returns an Offer that shuffles entries with rng.
func New(rng *rand.Rand) *Offer {
	return &Offer{rng: rng, lastOrder: make(map[string]time.Time)}
}

// RecordOrder records that an entry has sent an order.
func (o *Offer) RecordOrder(now time.Time, entry string) { o.lastOrder[entry] = now }

// Active reports whether an entry has sent an order within activeWindow.
func (o *Offer) Active(now time.Time, entry string) bool {
	at, ok := o.lastOrder[entry]
	return ok && now.Sub(at) <= activeWindow
}

// Remove removes an entry.
func (o *Offer) Remove(entry string) {
	delete(o.lastOrder, entry)
	if i := slices.Index(o.order, entry); i >= 0 {
		o.order = slices.Delete(o.order, i, i+1)
		o.offered = min(o.offered, len(o.order))
	}
}

// Restart begins a new offer to entries in random order, the active ones first; it reorders and keeps the slice.
func (o *Offer) Restart(now time.Time, entries []string) {
	slices.Sort(entries)
	o.rng.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
	first := 0
	for i, e := range entries {
		if o.Active(now, e) {
			entries[first], entries[i] = entries[i], entries[first]
			first++
		}
	}
	o.order, o.offered = entries, 0
}

// Extend offers the room to as many further entries as there are slots.
func (o *Offer) Extend(slots int) { o.offered = min(len(o.order), o.offered+slots) }

// Offered reports whether an entry has been offered the room.
func (o *Offer) Offered(entry string) bool { return slices.Contains(o.order[:o.offered], entry) }

// Done reports whether all entries have been offered the room.
func (o *Offer) Done() bool { return o.offered == len(o.order) }
