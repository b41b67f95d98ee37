package fetch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fetchInterval is the time span over which the agents fetch a new version, and the least time between two fetches of one agent.
// A change has to be in force within two seconds, including on entries that can't read it themselves and get it from the first
// agents that have fetched it.
const fetchInterval = time.Second

// Spread tracks which version each entry has and schedules the next fetch; create it with New.
type Spread struct {
	rng       *rand.Rand
	versions  map[string]int64 // by entry
	nextFetch time.Time        // zero if no fetch is scheduled
}

// New returns a Spread that takes its random times from rng.
func New(rng *rand.Rand) *Spread {
	return &Spread{rng: rng, versions: make(map[string]int64)}
}

// SetVersion records the version that an entry has; own is the version that the agent has.
func (s *Spread) SetVersion(now time.Time, entry string, version, own int64) {
	s.versions[entry] = version
	if version > own && s.nextFetch.IsZero() {
		s.nextFetch = now.Add(time.Duration(s.rng.Int64N(int64(fetchInterval))))
	}
}

// Remove removes an entry.
func (s *Spread) Remove(entry string) { delete(s.versions, entry) }

// Next returns the entry to fetch from if a fetch is due, empty otherwise: a random one of the entries with the newest version.
func (s *Spread) Next(now time.Time, own int64) string {
	if s.nextFetch.IsZero() || now.Before(s.nextFetch) {
		return ""
	}
	newest := own
	for _, v := range s.versions {
		newest = max(newest, v)
	}
	if newest == own {
		s.nextFetch = time.Time{}
		return ""
	}
	s.nextFetch = now.Add(fetchInterval)
	var list []string
	for _, entry := range slices.Sorted(maps.Keys(s.versions)) {
		if s.versions[entry] == newest {
			list = append(list, entry)
		}
	}
	return list[s.rng.IntN(len(list))]
}
