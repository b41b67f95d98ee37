package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// spreadTime is the time over which the agents fetch a new version, and that between two fetches of one agent. A change has to be
// in force within two seconds, and the first agents that have it give it to an entry that can't read it itself.
const spreadTime = time.Second

// Spread knows which entry has which version; New makes it.
type Spread struct {
	rng   *rand.Rand
	known map[string]int64 // by entry
	due   time.Time        // of the next fetch; zero is none
}

// New returns a Spread that draws its moments from rng.
func New(rng *rand.Rand) *Spread {
	return &Spread{rng: rng, known: make(map[string]int64)}
}

// SetVersion takes an entry's word of the version that it has; own is the one that the agent has.
func (s *Spread) SetVersion(now time.Time, entry string, version, own int64) {
	s.known[entry] = version
	if version > own && s.due.IsZero() {
		s.due = now.Add(time.Duration(s.rng.Int64N(int64(spreadTime))))
	}
}

// Remove forgets an entry.
func (s *Spread) Remove(entry string) { delete(s.known, entry) }

// Next returns the entry to fetch from now, empty if there is none: a random one of those with the newest version.
func (s *Spread) Next(now time.Time, own int64) string {
	if s.due.IsZero() || now.Before(s.due) {
		return ""
	}
	newest := own
	for _, v := range s.known {
		newest = max(newest, v)
	}
	if newest == own {
		s.due = time.Time{}
		return ""
	}
	s.due = now.Add(spreadTime)
	var list []string
	for _, entry := range slices.Sorted(maps.Keys(s.known)) {
		if s.known[entry] == newest {
			list = append(list, entry)
		}
	}
	return list[s.rng.IntN(len(list))]
}
