package offer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/demand"
)

func entries(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("e", i))
	}
	return list
}

func countOffered(o *Offer, list []string) int {
	n := 0
	for _, e := range list {
		if o.Offered(e) {
			n++
		}
	}
	return n
}

func TestRoomIsOfferedToAsManyEntriesAsTasksFit(t *testing.T) {
	o := New(rand.New(rand.NewPCG(1, 2)))
	list := entries(12)
	o.Restart(time.Unix(1000, 0), entries(12))
	require.Equal(t, 0, countOffered(o, list))
	o.Extend(1)
	require.Equal(t, 1, countOffered(o, list))
	o.Extend(2)
	require.Equal(t, 3, countOffered(o, list))
	require.False(t, o.Done())
	o.Extend(100)
	require.Equal(t, 12, countOffered(o, list))
	require.True(t, o.Done())
	require.False(t, o.Offered("stranger"))
}

func TestActiveEntriesComeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(50) {
		o := New(rand.New(rand.NewPCG(seed, 2)))
		o.RecordOrder(now, "e3")
		o.RecordOrder(now.Add(-activeWindow/2), "e7")
		o.RecordOrder(now.Add(-2*activeWindow), "e5")
		o.Restart(now, entries(12))
		o.Extend(2)
		require.True(t, o.Offered("e3"))
		require.True(t, o.Offered("e7"))
	}
}

func TestEveryEntryIsSometimesFirst(t *testing.T) {
	o := New(rand.New(rand.NewPCG(1, 2)))
	first := map[string]bool{}
	for range 200 {
		o.Restart(time.Unix(1000, 0), entries(12))
		o.Extend(1)
		for _, e := range entries(12) {
			first[e] = first[e] || o.Offered(e)
		}
	}
	for _, e := range entries(12) {
		require.True(t, first[e], e)
	}
}

func TestRemovedEntryIsOfferedNothing(t *testing.T) {
	o := New(rand.New(rand.NewPCG(1, 2)))
	o.Restart(time.Unix(1000, 0), entries(3))
	o.Extend(3)
	o.Remove("e1")
	require.False(t, o.Offered("e1"))
	require.True(t, o.Offered("e2"))
	require.True(t, o.Done())
}

// work returns a demand of one route.
func work(arrived, started float64) demand.Demand {
	var d demand.Demand
	d.AddRoute(1, demand.Work{Arrived: arrived, Started: started})
	return d
}

// countFirst returns how often each entry is offered the room first.
func countFirst(now time.Time, o *Offer, n int) map[string]int {
	first := map[string]int{}
	for range n {
		o.Restart(now, entries(4))
		o.Extend(1)
		for _, e := range entries(4) {
			if o.Offered(e) {
				first[e]++
			}
		}
	}
	return first
}

func TestRoomFollowsDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	o := New(rand.New(rand.NewPCG(1, 2)))
	for _, e := range entries(4) {
		o.RecordOrder(now, e)
		o.RecordDemand(now, e, work(1, 0.8))
	}
	o.RecordDemand(now, "e3", work(3, 2.4))
	first := countFirst(now, o, 6000)
	require.InDelta(t, 3000, first["e3"], 200)
	require.InDelta(t, 1000, first["e0"], 150)
	o.RecordDemand(now, "e0", work(1, 0.6))
	require.Greater(t, countFirst(now, o, 6000)["e0"], 3000, "an entry of which less is served goes first")
}

// TestAnEntryWithoutRecentReportHasTheUsualWeight covers entries that have just started, and reports that no longer arrive.
func TestAnEntryWithoutRecentReportHasTheUsualWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	o := New(rand.New(rand.NewPCG(1, 2)))
	for _, e := range entries(4) {
		o.RecordOrder(now, e)
		o.RecordDemand(now, e, work(2, 1.6))
	}
	o.Remove("e1")
	o.RecordOrder(now, "e1")
	o.RecordDemand(now.Add(-2*demand.TTL), "e2", work(100, 10))
	first := countFirst(now, o, 4000)
	for _, e := range entries(4) {
		require.InDelta(t, 1000, first[e], 150, e)
	}
	total := o.Total(now)
	require.InDelta(t, 4, total.All.Arrived, 1e-9)
}
