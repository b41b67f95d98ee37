package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lendingQueue has a team "a" that lately used three quarters of the host and is idle now, and a flood of runs.
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

// fill starts what the queue gives on the free ones of eight slots, and returns the teams of what started.
func fill(q *Queue[int], free int) []string {
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

// The first task of the flood is its own part; then five eighths of the host are unused of the peak.
func TestLongTasksBorrowLessThanShortOnes(t *testing.T) {
	require.Len(t, fill(lendingQueue(t, 50*time.Millisecond), 8), 7, "a sixth of the unused peak is kept")
	require.Len(t, fill(lendingQueue(t, 250*time.Millisecond), 8), 5, "half is kept")
	require.Len(t, fill(lendingQueue(t, 2500*time.Millisecond), 8), 3, "ten elevenths are kept")
}

func TestAFloodAloneGetsTheWholeHostAfterTheWindow(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	q.Expire(time.Unix(1005, 0))
	q.Expire(time.Unix(1010, 0))
	require.Len(t, fill(q, 8), 8)
}

func TestTheLenderStartsOnWhatWasKept(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	require.Len(t, fill(q, 8), 3)
	for i := range 6 {
		push(t, q, work(fmt.Sprint("again", i), "a", "x"))
	}
	require.Equal(t, []string{"a", "a", "a", "a", "a"}, fill(q, 5))
}

// What wasn't lent is not saved up: once the flood may borrow again, service follows the weights at once.
func TestAShareGetsNoCreditForWhatWasNotLent(t *testing.T) {
	q := lendingQueue(t, 5*time.Second)
	require.Len(t, fill(q, 8), 3)
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

func TestAShareWhoseTasksRunTenTimesAsDeclaredBorrowsLikeLongOnes(t *testing.T) {
	q := &Queue[int]{}
	for i := range 40 {
		push(t, q, work(fmt.Sprint("before", i), "flood", "x"))
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, 10*it.Run)
	}
	prepareLending(t, q, 500*time.Millisecond)
	require.Len(t, fill(q, 8), 3)
}
