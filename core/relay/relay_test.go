package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const tick = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func names(n int) func() []string {
	return func() []string {
		list := make([]string, 0, n)
		for i := range n {
			list = append(list, fmt.Sprint("agent-", i))
		}
		return list
	}
}

// asked counts the requests to each of n agents over a period in which nothing is confirmed.
func asked(n int, period time.Duration) map[string]int {
	r, count := New(rand.New(rand.NewPCG(1, 2))), map[string]int{}
	r.Stale(start, start)
	for now := start; now.Before(start.Add(period)); now = now.Add(tick) {
		for _, name := range r.Ask(now, start, names(n)) {
			count[name]++
		}
	}
	return count
}

func TestNobodyIsAskedWhileTheStoreConfirms(t *testing.T) {
	r := New(rand.New(rand.NewPCG(1, 2)))
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(tick) {
		require.Empty(t, r.Ask(now, now.Add(-staleAfter), names(11)))
	}
}

// TestEachAgentIsAskedWithinTheBoundOfAChange guards against an entry that doesn't find the few agents which the store serves.
func TestEachAgentIsAskedWithinTheBoundOfAChange(t *testing.T) {
	const bound, readAndAnswer = 2 * time.Second, 200 * time.Millisecond
	for _, n := range []int{1, 2, 11, 24} {
		require.Len(t, asked(n, bound-readAndAnswer), n)
	}
}

// TestRequestsAreFewWhileNoAgentIsAnswered guards against a load on the store, at its return, that grows with the fleet.
func TestRequestsAreFewWhileNoAgentIsAnswered(t *testing.T) {
	const outage = 20 * time.Second
	for _, n := range []int{11, 60} {
		total := 0
		for _, count := range asked(n, outage) {
			total += count
		}
		require.LessOrEqual(t, total, n+maxRound*int(outage/restPeriod), n)
	}
}

func TestAnEntryThatStartsWaitsForItsOwnFirstRead(t *testing.T) {
	r := New(rand.New(rand.NewPCG(1, 2)))
	require.Empty(t, r.Ask(start, time.Time{}, names(3)))
	require.Empty(t, r.Ask(start.Add(staleAfter), time.Time{}, names(3)))
	require.Len(t, r.Ask(start.Add(staleAfter+tick), time.Time{}, names(3)), firstRound)
}

func TestAgentsThatConnectLaterAreAsked(t *testing.T) {
	r := New(rand.New(rand.NewPCG(1, 2)))
	r.Stale(start, start)
	require.Empty(t, r.Ask(start.Add(2*staleAfter), start, names(0)))
	require.Len(t, r.Ask(start.Add(2*staleAfter+roundPeriod), start, names(1)), 1)
}

// TestAgentsAreAskedAgainAfterTheLastOneLeft guards against an entry that asks nobody any more, as the only agent that it hadn't asked
// has disconnected.
func TestAgentsAreAskedAgainAfterTheLastOneLeft(t *testing.T) {
	r := New(rand.New(rand.NewPCG(1, 2)))
	r.Stale(start, start)
	now := start.Add(2 * staleAfter)
	require.Len(t, r.Ask(now, start, names(3)), firstRound)
	still := func() []string {
		var list []string
		for name := range r.asked {
			list = append(list, name)
		}
		return list
	}
	require.Empty(t, r.Ask(now.Add(roundPeriod), start, still))
	require.Len(t, r.Ask(now.Add(roundPeriod+restPeriod), start, names(2)), 2)
}
