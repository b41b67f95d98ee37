package offer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/demand"
)

const (
	// activeWindow is how long after its last order an entry counts as active.
	activeWindow = time.Second
	// servedExponent is the exponent of the served fraction in an entry's weight: an entry that is served a tenth less than the
	// others is offered room about one and a half times as often for the same demand.
	servedExponent = 12
	// minServed bounds the served fraction from below, for entries that have just begun to start work.
	minServed = 0.25
	// leastWeight is the least weight of an entry as a fraction of the usual one, for an entry whose first callers have just come.
	leastWeight = 0.05
)

// Offer holds the order in which entries are offered room; create it with New.
type Offer struct {
	rng       *rand.Rand
	lastOrder map[string]time.Time // time of the last order, by entry
	reports   map[string]report    // by entry
	order     []string
	keys      map[string]float64 // reused by Restart
	offered   int                // number of entries of order that have been offered the room
}

// report is an entry's demand as last reported.
type report struct {
	demand demand.Demand
	at     time.Time
}

// New returns an Offer that shuffles entries with rng.
func New(rng *rand.Rand) *Offer {
	return &Offer{rng: rng, lastOrder: make(map[string]time.Time), reports: make(map[string]report), keys: make(map[string]float64)}
}

// RecordOrder records that an entry has sent an order.
func (o *Offer) RecordOrder(now time.Time, entry string) { o.lastOrder[entry] = now }

// RecordDemand records the demand that an entry has reported.
func (o *Offer) RecordDemand(now time.Time, entry string, d demand.Demand) {
	o.reports[entry] = report{d, now}
}

// Active reports whether an entry has sent an order within activeWindow.
func (o *Offer) Active(now time.Time, entry string) bool {
	at, ok := o.lastOrder[entry]
	return ok && now.Sub(at) <= activeWindow
}

// Total returns the sum of the entries' recent reports.
func (o *Offer) Total(now time.Time) demand.Demand {
	var sum demand.Demand
	for _, r := range o.reports {
		if now.Sub(r.at) <= demand.TTL {
			sum.Add(&r.demand)
		}
	}
	return sum
}

// Remove removes an entry.
func (o *Offer) Remove(entry string) {
	delete(o.lastOrder, entry)
	delete(o.reports, entry)
	if i := slices.Index(o.order, entry); i >= 0 {
		o.order = slices.Delete(o.order, i, i+1)
		if i < o.offered {
			o.offered--
		}
	}
}

// Restart begins a new offer to entries, the active ones first, in random order: an entry's chance to precede another one is in
// proportion to their weights. It reorders and keeps the slice.
func (o *Offer) Restart(now time.Time, entries []string) {
	slices.Sort(entries)
	usual := o.usualWeight(now)
	clear(o.keys)
	for _, e := range entries {
		key := o.rng.ExpFloat64() / o.weight(now, e, usual) // exponential, of rate weight
		if !o.Active(now, e) {
			key = math.Inf(1)
		}
		o.keys[e] = key
	}
	o.rng.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
	slices.SortStableFunc(entries, func(a, b string) int { return cmp.Compare(o.keys[a], o.keys[b]) })
	o.order, o.offered = entries, 0
}

// weight returns an entry's weight: its demand, more if less of it is served, so that the same fraction is served at all entries.
// Without a recent report it is the usual one.
func (o *Offer) weight(now time.Time, entry string, usual float64) float64 {
	r, ok := o.reports[entry]
	if !ok || now.Sub(r.at) > demand.TTL {
		return usual
	}
	return max(weightOf(&r.demand), leastWeight*usual)
}

// usualWeight returns the mean weight of the entries with a recent report, 1 if there are none.
func (o *Offer) usualWeight(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, r := range o.reports {
		if now.Sub(r.at) <= demand.TTL {
			sum += weightOf(&r.demand)
			n++
		}
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(n)
}

func weightOf(d *demand.Demand) float64 {
	return d.All.Arrived * math.Pow(max(minServed, d.All.Served()), -servedExponent)
}

// Extend offers the room to as many further entries as there are slots.
func (o *Offer) Extend(slots int) { o.offered = min(len(o.order), o.offered+slots) }

// Offered reports whether an entry has been offered the room.
func (o *Offer) Offered(entry string) bool { return slices.Contains(o.order[:o.offered], entry) }

// Done reports whether all entries have been offered the room.
func (o *Offer) Done() bool { return o.offered == len(o.order) }
