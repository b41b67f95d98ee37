package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lendingQueue returns a queue with an idle team "a" that lately used three quarters of the host, and a flood of items
// with the given run time.
func lendingQueue(t *testing.T, run time.Duration) *Queue[int] {
	t.Helper()
	q := &Queue[int]{}
	prepareLending(t, q, run)
	return q
}

func prepareLending(t *testing.T, q *Queue[int], run time.Duration) {
	t.Helper()
	q.SetWeight("a", "x", 1)
	q.SetWeight("flood", "x", 1)
	q.SetWeight("a", "", 7)
	q.Expire(time.Unix(1000, 0))
	for i := range 6 {
		push(t, q, work(fmt.Sprint("a", i), "a", "x"))
	}
	for range 6 {
		it, ok := q.Pop(always)
		require.True(t, ok)
		defer q.Done(it, it.Run)
	}
	for i := range 400 {
		it := work(fmt.Sprint("flood", i), "flood", "x")
		it.Run = run
		push(t, q, it)
	}
}

// startUpTo pops at most free items and returns their teams.
func startUpTo(q *Queue[int], free int) []string {
	var started []string
	slots := func(*Item[int], bool) bool { return len(started) < free }
	for {
		it, ok := q.Pop(slots)
		if !ok {
			return started
		}
		started = append(started, it.Team)
	}
}

// The first task of the flood is within its own share; then five eighths of the host are unused of the peak.
func TestLongTasksBorrowLessThanShortOnes(t *testing.T) {
	require.Len(t, startUpTo(lendingQueue(t, 50*time.Millisecond), 8), 7, "a sixth of the unused peak is reserved")
	require.Len(t, startUpTo(lendingQueue(t, 250*time.Millisecond), 8), 5, "half is reserved")
	require.Len(t, startUpTo(lendingQueue(t, 2500*time.Millisecond), 8), 3, "ten elevenths are reserved")
}

func TestAFloodAloneGetsTheWholeHostAfterTheWindow(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	q.Expire(time.Unix(1005, 0))
	q.Expire(time.Unix(1010, 0))
	require.Len(t, startUpTo(q, 8), 8)
}

func TestTheLenderStartsOnReservedCapacity(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	require.Len(t, startUpTo(q, 8), 3)
	for i := range 6 {
		push(t, q, work(fmt.Sprint("again", i), "a", "x"))
	}
	require.Equal(t, []string{"a", "a", "a", "a", "a"}, startUpTo(q, 5))
}

// Capacity that wasn't lent gives no credit: once the flood may borrow again, service follows the weights at once.
func TestAShareGetsNoCreditForWhatWasNotLent(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	require.Len(t, startUpTo(q, 8), 3)
	for i := range 7000 {
		push(t, q, work(fmt.Sprint("more", i), "a", "x"))
		it, ok := q.Pop(always)
		require.True(t, ok)
		require.Equal(t, "a", it.Team)
		q.Done(it, it.Run)
	}
	q.Expire(time.Unix(1005, 0))
	q.Expire(time.Unix(1010, 0))
	for i := range 100 {
		it := work(fmt.Sprint("last", i), "a", "x")
		it.Run = 5 * time.Second
		push(t, q, it)
	}
	require.InDelta(t, 70, serve(t, q, 80)["a"], 1, "seven of eight")
}

func TestAShareThatRunsTenTimesAsLongAsDeclaredBorrowsAsLongTasksDo(t *testing.T) {
	q := &Queue[int]{}
	for i := range 40 {
		push(t, q, work(fmt.Sprint("before", i), "flood", "x"))
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, 10*it.Run)
	}
	prepareLending(t, q, 500*time.Millisecond)
	require.Len(t, startUpTo(q, 8), 3)
}
