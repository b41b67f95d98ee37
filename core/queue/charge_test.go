package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve pops and completes n items and returns how many each team got.
func serve(t *testing.T, q *Queue[int], n int) map[string]int {
	t.Helper()
	served := map[string]int{}
	for range n {
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, it.Run)
		served[it.Team]++
	}
	return served
}

func TestOneStragglerBlocksItsShareForALimitedTime(t *testing.T) {
	var q Queue[int]
	whole := work("straggler", "b", "x")
	whole.Size = wholeHost
	push(t, &q, whole)
	it, ok := q.Pop(always)
	require.True(t, ok)
	q.Done(it, time.Hour)
	push(t, &q, work("b", "b", "x"))
	for i := range 3000 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"))
	}
	// 30 host-seconds are 2400 tasks of 0.1 s on an eighth of the host.
	require.Equal(t, 1, serve(t, &q, 2410)["b"])
}

func TestRefundsOfOverstatedRunTimesGiveNoCredit(t *testing.T) {
	var q Queue[int]
	long := work("long", "b", "x")
	long.Run = 10 * time.Second
	push(t, &q, long)
	popped, ok := q.Pop(always)
	require.True(t, ok)
	for i := range 200 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"))
	}
	serve(t, &q, 100)
	q.Done(popped, time.Millisecond)
	for i := range 100 {
		push(t, &q, work(fmt.Sprint("b", i), "b", "x"))
	}
	require.InDelta(t, 25, serve(t, &q, 50)["b"], 1)
}

func TestALargeItemIsNotStarvedByOtherKindsOfItsTeam(t *testing.T) {
	var q Queue[int]
	push(t, &q, Item[int]{Key: "large", Team: "a", Kind: "large", Run: time.Second, Size: wholeHost})
	for i := range 200 {
		push(t, &q, work(fmt.Sprint(i), "a", "small"))
	}
	small := func(it *Item[int], _ bool) bool { return it.Size < wholeHost }
	served := 0
	for {
		if _, ok := q.Pop(small); !ok {
			break
		}
		served++
	}
	require.InDelta(t, 80, served, 2)
}
