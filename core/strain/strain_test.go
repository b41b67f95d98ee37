package strain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// play observes a delay every 10 ms for a time and returns the end.
func play(s *Strain, now time.Time, span, delay time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(10 * ms) {
		s.Observe(now, delay)
	}
	return now
}

func TestAnEntryIsOverloadedWhileItsQueueNeverEmpties(t *testing.T) {
	s := &Strain{}
	now := play(s, time.Unix(1000, 0), time.Second, ms)
	require.False(t, s.Overloaded())
	require.False(t, s.Refuses())
	now = play(s, now, 220*ms, 80*ms)
	require.True(t, s.Overloaded())
	require.NotEqual(t, s.Refuses(), s.Refuses(), "half of the jobs are refused")
	require.False(t, s.Relieving(now), "a short overload moves nobody")
	now = play(s, now, 250*ms, 20*ms)
	require.True(t, s.Overloaded(), "neither high nor low: no change of mind")
	now = play(s, now, 250*ms, 300*ms)
	for range 4 {
		require.True(t, s.Refuses(), "all are refused while the delay is severe")
	}
	play(s, now, 250*ms, ms)
	require.False(t, s.Overloaded())
}

// TestBurstsThatAreWorkedOffAreNoOverload guards against refusals by an entry that is late once in a while.
func TestBurstsThatAreWorkedOffAreNoOverload(t *testing.T) {
	s := &Strain{}
	now := time.Unix(1000, 0)
	for range 50 {
		now = play(s, now, 60*ms, 90*ms)
		now = play(s, now, 20*ms, ms)
		require.False(t, s.Overloaded())
	}
}

// TestCallersAreMovedOnceTheBalancerHasNoticed guards against connections that come back at once, and against callers that are moved to and
// fro: the balancer checks once a second and needs two misses.
func TestCallersAreMovedOnceTheBalancerHasNoticed(t *testing.T) {
	s := &Strain{}
	now := play(s, time.Unix(1000, 0), 600*ms, 80*ms)
	require.True(t, s.Relieving(now))
	for range 20 {
		require.False(t, s.Moves(now), "the balancer hasn't noticed yet")
	}
	now = play(s, now, noticeTime, 80*ms)
	closed := 0
	for range 20 {
		if s.Moves(now) {
			closed++
		}
	}
	require.Equal(t, 20/closeEvery, closed)
	now = play(s, now, moveTime, ms)
	require.False(t, s.Relieving(now))
	now = play(s, now, restTime/2, 80*ms)
	require.True(t, s.Overloaded())
	require.False(t, s.Relieving(now), "the last move was a short time ago")
	now = play(s, now, restTime/2+time.Second, 80*ms)
	require.True(t, s.Relieving(now))
}

// TestAProbeCountsOnlyWithoutRequests guards against an overload that isn't seen: the process' own probes wait in one of its queues only.
func TestAProbeCountsOnlyWithoutRequests(t *testing.T) {
	s, now := &Strain{}, time.Unix(1000, 0)
	for range 30 {
		now = now.Add(10 * ms)
		s.Observe(now, 300*ms)
		s.Probe(now, ms)
	}
	require.True(t, s.Overloaded())
	for range 30 {
		now = now.Add(10 * ms)
		s.Probe(now, ms)
	}
	require.False(t, s.Overloaded())
}
