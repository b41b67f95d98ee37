package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/times"
)

const (
	// staleAfter is the time without a confirmation after which agents are asked; an entry's own reads are answered within 0.9 s.
	staleAfter = 1100 * time.Millisecond
	// roundPeriod is the time between two rounds of requests. Each round asks twice as many agents as the one before, from firstRound
	// to maxRound, so that a change is in force within 2 s also where the store serves few of them.
	roundPeriod = 100 * time.Millisecond
	firstRound  = 2
	maxRound    = 8
	// restPeriod replaces roundPeriod once all agents have been asked without success.
	restPeriod = time.Second
)

// Relay is the state of one entry; create it with New.
type Relay struct {
	rng    *rand.Rand
	began  time.Time // of the process
	next   time.Time // of the next round
	period time.Duration
	size   int // of the next round
	asked  map[string]bool
}

// New returns a Relay that chooses agents by rng.
func New(rng *rand.Rand) *Relay {
	r := &Relay{rng: rng, asked: make(map[string]bool)}
	r.reset()
	return r
}

func (r *Relay) reset() {
	r.next, r.period, r.size = time.Time{}, roundPeriod, firstRound
	clear(r.asked)
}

// Stale reports whether the document has to be read by agents, as its last confirmation was received at the given time, or none has been
// if that is zero.
func (r *Relay) Stale(now, received time.Time) bool {
	if r.began.IsZero() {
		r.began = now
	}
	return now.Sub(times.Later(received, r.began)) > staleAfter
}

// Ask returns the agents to ask now; agents returns the names of those that are connected.
func (r *Relay) Ask(now, received time.Time, agents func() []string) []string {
	if !r.Stale(now, received) {
		r.reset()
		return nil
	}
	if now.Before(r.next) {
		return nil
	}
	list := r.choose(agents())
	r.next = now.Add(r.period)
	return list
}

// choose returns the agents of the next round. Once each has been asked, rounds of maxRound agents start over every restPeriod.
func (r *Relay) choose(names []string) []string {
	open := slices.DeleteFunc(names, func(name string) bool { return r.asked[name] })
	slices.Sort(open)
	r.rng.Shuffle(len(open), func(i, k int) { open[i], open[k] = open[k], open[i] })
	list := open[:min(r.size, len(open))]
	for _, name := range list {
		r.asked[name] = true
	}
	r.size = min(maxRound, 2*r.size)
	if len(list) == len(open) && len(names) > 0 {
		r.period, r.size = restPeriod, maxRound
		clear(r.asked)
	}
	return list
}
