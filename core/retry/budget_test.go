package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/retry"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// spent returns an empty budget.
func spent() *retry.Budget {
	b := &retry.Budget{}
	for b.Take() {
		continue
	}
	return b
}

func TestRetriesAreAShareOfStarts(t *testing.T) {
	b, rng := spent(), seeded()
	deadline := start.Add(time.Minute)
	retries := 0
	for range 1000 {
		b.Started(start)
		for range 5 {
			if _, ok := b.Next(start, deadline, 0, time.Second, rng); ok {
				retries++
			}
		}
	}
	require.InDelta(t, 100, retries, 1)
}

func TestNeverPastTheDeadline(t *testing.T) {
	b, rng := &retry.Budget{}, seeded()
	full := b.Tokens()
	_, ok := b.Next(start, start.Add(time.Second), 0, time.Second, rng)
	require.False(t, ok)
	require.Equal(t, full, b.Tokens())
	for attempt := range 20 {
		at, ok := b.Next(start, start.Add(2*time.Second), attempt, time.Second, rng)
		require.True(t, ok)
		require.True(t, at.After(start))
		require.False(t, at.Add(time.Second).After(start.Add(2*time.Second)))
	}
}

// A third of the targets is lost with 5,000 tasks queued there, while the other two thirds go on.
func TestNoStormWhenADataCentreFails(t *testing.T) {
	b, rng := &retry.Budget{}, seeded()
	for i := range 3000 {
		b.Started(start.Add(time.Duration(i) * time.Millisecond))
	}
	now := start.Add(3 * time.Second)
	retries := 0
	for range 5000 {
		if _, ok := b.Next(now, now.Add(time.Minute), 0, time.Second, rng); ok {
			retries++
		}
	}
	for i := range 2000 {
		b.Started(now.Add(time.Duration(i) * time.Millisecond))
		if _, ok := b.Next(now, now.Add(time.Minute), 1, time.Second, rng); ok {
			retries++
		}
	}
	t.Logf("7,000 refusals and 2,000 starts: %d retries", retries)
	require.LessOrEqual(t, retries, 100+200)
}

func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	b, rng := &retry.Budget{}, seeded()
	now := start
	for range 10_000 {
		b.Started(now)
		now = now.Add(5 * time.Millisecond)
	}
	perSecond := map[int]int{}
	for range 2000 {
		after := b.RetryAfter(now, rng)
		require.LessOrEqual(t, after, 31*time.Second)
		perSecond[int(after/time.Second)]++
	}
	for second, n := range perSecond {
		require.LessOrEqual(t, n, 200, "more callers than starts in second %d", second)
	}
	require.Less(t, (&retry.Budget{}).RetryAfter(now, rng), 4*time.Second, "the first refused caller returns soon")
}

func BenchmarkNext(bm *testing.B) {
	b, rng := &retry.Budget{}, seeded()
	bm.ReportAllocs()
	for bm.Loop() {
		b.Started(start)
		b.Next(start, start.Add(time.Minute), 1, time.Second, rng)
	}
}

func TestTheShareIsSetByTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		share float64
		want  int
	}{{0.5, 50}, {0, 0}, {1, 100}} {
		b := spent()
		b.SetShare(c.share)
		for range 100 {
			b.Started(start)
		}
		require.Equal(t, c.want, b.Tokens(), "share %v", c.share)
	}
}
