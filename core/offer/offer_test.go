package offer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
