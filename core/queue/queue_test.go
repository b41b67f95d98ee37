package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func always(*Item[int], bool) bool { return true }

func work(key, team, kind string) Item[int] {
	return Item[int]{Key: key, Team: team, Kind: kind, Run: 100 * time.Millisecond, Size: 125}
}

func push(t *testing.T, q *Queue[int], items ...Item[int]) {
	t.Helper()
	for _, it := range items {
		require.NoError(t, q.Push(it))
	}
}

func popAll(q *Queue[int]) []string {
	var keys []string
	for {
		it, ok := q.Pop(always)
		if !ok {
			return keys
		}
		keys = append(keys, it.Key)
	}
}

func TestPopAlternatesBetweenTeamsOfEqualWeight(t *testing.T) {
	var q Queue[int]
	push(t, &q, work("a1", "a", "x"), work("a2", "a", "x"), work("a3", "a", "x"), work("b1", "b", "x"))
	require.Equal(t, []string{"a1", "b1", "a2", "a3"}, popAll(&q))
	require.Zero(t, q.Len())
}

func TestUrgencyOrdersOnlyWithinAShare(t *testing.T) {
	var q Queue[int]
	urgent := work("a-urgent", "a", "x")
	urgent.Urgency = 9
	push(t, &q, work("a1", "a", "x"), urgent, work("b1", "b", "x"), work("b2", "b", "x"))
	require.Equal(t, []string{"a-urgent", "b1", "a1", "b2"}, popAll(&q))
}

func TestWeightsDivideServiceAtBothLevels(t *testing.T) {
	var q Queue[int]
	q.SetWeight("a", "", 3)
	q.SetWeight("a", "y", 2)
	for i := range 100 {
		push(t, &q, work(fmt.Sprint("ax", i), "a", "x"), work(fmt.Sprint("ay", i), "a", "y"), work(fmt.Sprint("bx", i), "b", "x"))
	}
	count := map[string]int{}
	for range 80 {
		it, ok := q.Pop(always)
		require.True(t, ok)
		count[it.Team+it.Kind]++
	}
	require.InDelta(t, 20, count["ax"], 1)
	require.InDelta(t, 40, count["ay"], 1)
	require.InDelta(t, 20, count["bx"], 1)
}

func TestRemoveAndExpire(t *testing.T) {
	var q Queue[int]
	now := time.Unix(1000, 0)
	late := work("late", "a", "x")
	late.Deadline = now
	push(t, &q, work("keep", "a", "x"), work("gone", "b", "x"), late)
	_, ok := q.Remove("gone")
	require.True(t, ok)
	_, ok = q.Remove("gone")
	require.False(t, ok)
	expired := q.Expire(now)
	require.Len(t, expired, 1)
	require.Equal(t, "late", expired[0].Key)
	require.Equal(t, []string{"keep"}, popAll(&q))
}

func TestPushRefusesDuplicateKey(t *testing.T) {
	var q Queue[int]
	push(t, &q, work("a", "a", "x"))
	err := q.Push(work("a", "b", "x"))
	var full *FullError
	require.True(t, errors.As(err, &full))
	require.Equal(t, DuplicateKey, full.Reason)
}

func TestFloodFillsOnlyItsOwnShare(t *testing.T) {
	var q Queue[int]
	q.SetBounds(100, 0)
	q.SetWeight("b", "x", 1)
	var full *FullError
	for i := 0; full == nil; i++ {
		err := q.Push(work(fmt.Sprint("a", i), "a", "x"))
		_ = errors.As(err, &full)
	}
	require.Equal(t, ShareFull, full.Reason)
	for i := range 16 {
		push(t, &q, work(fmt.Sprint("b", i), "b", "x"))
	}
}

func TestLargeHeadIsBypassedForALimitedTime(t *testing.T) {
	var q Queue[int]
	large := Item[int]{Key: "large", Team: "a", Kind: "x", Run: time.Second, Size: 1000}
	push(t, &q, large)
	for i := range 200 {
		push(t, &q, work(fmt.Sprint("b", i), "b", "x"))
	}
	small := func(it *Item[int], _ bool) bool { return it.Size < 1000 }
	served := 0
	for {
		if _, ok := q.Pop(small); !ok {
			break
		}
		served++
	}
	require.InDelta(t, 80, served, 2, "bypassed by the large item's own cost of a host-second")
	it, ok := q.Pop(always)
	require.True(t, ok)
	require.Equal(t, "large", it.Key)
}

// A team can't take capacity or shares from others by inventing kinds.
func TestATeamThatInventsKindsFillsOnlyItsOwnShare(t *testing.T) {
	var q Queue[int]
	q.SetBounds(9000, 0)
	q.SetWeight("b", "x", 1)
	for i := range 9100 {
		_ = q.Push(work(fmt.Sprint("a", i), "a", fmt.Sprint("kind-", i)))
	}
	require.LessOrEqual(t, len(q.teams["a"].kinds), maxKinds)
	for i := range 1500 {
		push(t, &q, work(fmt.Sprint("b", i), "b", "x"))
	}
	push(t, &q, work("b-other", "b", "y"))
}

func TestIdleKindsAreEvictedForNewOnes(t *testing.T) {
	var q Queue[int]
	push(t, &q, work("busy", "a", "busy"))
	for i := range 3 * maxKinds {
		push(t, &q, work("k", "a", fmt.Sprint(i)))
		_, ok := q.Remove("k")
		require.True(t, ok)
	}
	require.Len(t, q.teams["a"].kinds, maxKinds)
	require.Equal(t, []string{"busy"}, popAll(&q))
}
