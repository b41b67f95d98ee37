package fetch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const tick = 20 * time.Millisecond

// TestVersionsInQuickSuccessionAreNotAllFetched publishes five versions per second for four seconds to 55 agents and 9 entries.
func TestVersionsInQuickSuccessionAreNotAllFetched(t *testing.T) {
	entries := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	type agent struct {
		spread *Spread
		own    int64
	}
	var agents []*agent
	for i := range 55 {
		agents = append(agents, &agent{spread: New(rand.New(rand.NewPCG(1, uint64(i))))})
	}
	now, version, fetched := time.Unix(1000, 0), int64(1), map[string]int{}
	first := time.Time{}
	for step := range int((6 * time.Second) / tick) {
		now = now.Add(tick)
		if step%10 == 0 && version < 20 {
			version++
		}
		for _, a := range agents {
			for _, e := range entries {
				a.spread.SetVersion(now, e, version, a.own)
			}
			if e := a.spread.Next(now, a.own); e != "" {
				a.own = version
				fetched[e]++
				if first.IsZero() {
					first = now
				}
			}
		}
	}
	for _, e := range entries {
		require.Less(t, fetched[e], 6*55/9*2, "at most about one fetch per second and agent")
	}
	for _, a := range agents {
		require.Equal(t, version, a.own)
	}
	require.Less(t, first.Sub(time.Unix(1000, 0)), 100*time.Millisecond, "the first agents fetch early")
}

func TestOnlyAnEntryWithTheNewestVersionIsFetchedFrom(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	s.SetVersion(now, "old", 3, 3)
	s.SetVersion(now, "new", 5, 3)
	require.Empty(t, s.Next(now.Add(-time.Millisecond), 3))
	require.Equal(t, "new", s.Next(now.Add(fetchInterval), 3))
	require.Empty(t, s.Next(now.Add(fetchInterval+tick), 3), "the last fetch is less than fetchInterval ago")
	s.Remove("new")
	require.Empty(t, s.Next(now.Add(3*fetchInterval), 3))
	s.SetVersion(now.Add(3*fetchInterval), "old", 4, 3)
	require.Equal(t, "old", s.Next(now.Add(5*fetchInterval), 3))
	require.Empty(t, s.Next(now.Add(7*fetchInterval), 4))
}
