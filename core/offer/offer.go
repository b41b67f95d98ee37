package offer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// interest is for how long after an order an entry is among the first to learn of room.
const interest = time.Second

// Offer keeps the turn of the entries; New makes it.
type Offer struct {
	rng   *rand.Rand
	asked map[string]time.Time // last order, by entry
	turn  []string
	shown int // how many of turn have been offered the room
}

// New returns an Offer that draws turns from rng.
func New(rng *rand.Rand) *Offer {
	return &Offer{rng: rng, asked: make(map[string]time.Time)}
}

// RecordOrder notes that an entry has sent an order.
func (o *Offer) RecordOrder(now time.Time, entry string) { o.asked[entry] = now }

// Active reports whether an entry has sent an order lately.
func (o *Offer) Active(now time.Time, entry string) bool {
	at, ok := o.asked[entry]
	return ok && now.Sub(at) <= interest
}

// Remove drops what is kept of an entry.
func (o *Offer) Remove(entry string) {
	delete(o.asked, entry)
	if i := slices.Index(o.turn, entry); i >= 0 {
		o.turn = slices.Delete(o.turn, i, i+1)
		o.shown = min(o.shown, len(o.turn))
	}
}

// Restart draws a new turn among entries, of which none has been offered anything yet; it reorders entries.
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
	o.turn, o.shown = entries, 0
}

// Extend offers room for a number of tasks to that many further entries.
func (o *Offer) Extend(slots int) { o.shown = min(len(o.turn), o.shown+slots) }

// Offered reports whether an entry has been offered the room.
func (o *Offer) Offered(entry string) bool { return slices.Contains(o.turn[:o.shown], entry) }

// Done reports whether all entries have been offered the room.
func (o *Offer) Done() bool { return o.shown == len(o.turn) }
