package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Each accepted item is returned exactly once, by Pop, Remove or Expire, and the sums agree with the remaining items.
func TestNoItemIsLostOrDuplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		q.SetBounds(rapid.Int64Range(5, 60).Draw(t, "items"), 2000)
		now := time.Unix(1000, 0)
		left := map[string]int{}
		waiting := map[string]Item[int]{}
		var running []Item[int]
		leave := func(it Item[int]) {
			left[it.Key]++
			require.Contains(t, waiting, it.Key)
			delete(waiting, it.Key)
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := drawItem(t, fmt.Sprint(n), now)
				n++
				if q.Push(it) == nil {
					waiting[it.Key] = it
				}
			},
			"pop": func(t *rapid.T) {
				free := rapid.Int64Range(0, 1000).Draw(t, "free")
				it, ok := q.Pop(func(it *Item[int], _ bool) bool { return it.Size <= free })
				if ok {
					require.LessOrEqual(t, it.Size, free)
					leave(it)
					running = append(running, it)
				}
			},
			"remove": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "key"))
				it, ok := q.Remove(key)
				_, want := waiting[key]
				require.Equal(t, want, ok)
				if ok {
					leave(it)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				for _, it := range q.Expire(now) {
					require.False(t, it.Deadline.After(now))
					leave(it)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				q.Done(running[0], time.Duration(rapid.IntRange(0, 60_000).Draw(t, "run"))*time.Millisecond)
				running = running[1:]
			},
			"": func(t *rapid.T) { checkSums(t, &q, waiting, running) },
		})
		// A share that runs nothing never has to borrow, so the queue can be emptied after completing the running items.
		for _, it := range running {
			q.Done(it, it.Run)
		}
		for {
			it, ok := q.Pop(always)
			if !ok {
				break
			}
			leave(it)
			q.Done(it, it.Run)
		}
		require.Empty(t, waiting)
		for key, times := range left {
			require.Equal(t, 1, times, key)
		}
	})
}

func drawItem(t *rapid.T, key string, now time.Time) Item[int] {
	it := Item[int]{
		Key:     key,
		Team:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Kind:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "kind"),
		Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"),
		Run:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "run")) * time.Millisecond,
		Size:    rapid.Int64Range(0, 1000).Draw(t, "size"),
		Bytes:   rapid.Int64Range(0, 100).Draw(t, "bytes"),
	}
	if rapid.Bool().Draw(t, "has-deadline") {
		it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "in")) * time.Millisecond)
	}
	return it
}

func checkSums(t *rapid.T, q *Queue[int], waiting map[string]Item[int], running []Item[int]) {
	require.Equal(t, len(waiting), q.Len())
	var size, bytes, backlogged int64
	var backlog, sum float64
	for _, it := range waiting {
		bytes += it.Bytes
		sum += it.cost(it.Run)
	}
	for _, it := range running {
		size += it.size()
	}
	require.Equal(t, bytes, q.Bytes())
	active := map[string]int64{}
	for _, s := range q.Snapshot() {
		backlogged += s.Waiting
		backlog += q.find(s.Team, s.Kind).backlog
		size -= s.Running
		active[s.Team] = 1
	}
	require.Zero(t, size)
	require.EqualValues(t, len(waiting), backlogged)
	require.InDelta(t, sum, backlog, 1e-6)
	require.EqualValues(t, len(active), q.weights.active)
}

// Between two shares that always wait, the difference of service over weight stays under the bound of start-time fair
// queueing: the largest item of each, over its weight.
func TestServiceFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		teams := []string{"a", "b", "c"}
		weight := map[string]float64{}
		for _, team := range teams {
			w := rapid.Int64Range(1, 9).Draw(t, "weight")
			q.SetWeight(team, "", w)
			weight[team] = float64(w)
		}
		served := map[string]float64{}
		greatest := map[string]float64{}
		for i := range 100 {
			for _, team := range teams {
				it := work(fmt.Sprint(team, i), team, "x")
				it.Run = time.Duration(rapid.IntRange(1, 3000).Draw(t, "run")) * time.Millisecond
				greatest[team] = max(greatest[team], it.cost(it.Run))
				require.NoError(t, q.Push(it))
			}
		}
		for range 100 {
			it, ok := q.Pop(always)
			require.True(t, ok)
			served[it.Team] += it.cost(it.Run)
			for _, a := range teams {
				for _, b := range teams {
					gap := math.Abs(served[a]/weight[a] - served[b]/weight[b])
					require.LessOrEqual(t, gap, greatest[a]/weight[a]+greatest[b]/weight[b]+1e-9)
				}
			}
		}
	})
}

// An item that fits and is first in its share is served, unless a larger item blocks the capacity.
func TestWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		n := rapid.IntRange(1, 60).Draw(t, "n")
		for i := range n {
			it := drawItem(t, fmt.Sprint(i), time.Unix(1000, 0))
			it.Size = 125
			require.NoError(t, q.Push(it))
		}
		for range n {
			_, ok := q.Pop(always)
			require.True(t, ok)
		}
	})
}

func TestAnIdleShareCatchesUpAtMostASecondOfItsFraction(t *testing.T) {
	var q Queue[int]
	push(t, &q, work("b", "b", "x"))
	require.Len(t, popAll(&q), 1)
	for i := range 400 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"))
	}
	for range 300 {
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, it.Run)
	}
	for i := range 100 {
		push(t, &q, work(fmt.Sprint("late", i), "b", "x"))
	}
	served := map[string]int{}
	for range 100 {
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, it.Run)
		served[it.Team]++
	}
	// 300 tasks were served while b was idle; half a host-second is 40 tasks, and b gets half of the other 60.
	require.InDelta(t, 70, served["b"], 2)
}

func TestDoneChargesTheActualRunTime(t *testing.T) {
	var q Queue[int]
	for i := range 200 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"), work(fmt.Sprint("b", i), "b", "x"))
	}
	served := map[string]int{}
	for range 110 {
		it, _ := q.Pop(always)
		served[it.Team]++
		run := it.Run
		if it.Team == "a" {
			run *= 10
		}
		q.Done(it, run)
	}
	require.InDelta(t, 10, served["a"], 1, "a's tasks run ten times as long as declared")
}

func TestWithdrawnItemIsNotCharged(t *testing.T) {
	var q Queue[int]
	for i := range 20 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"), work(fmt.Sprint("b", i), "b", "x"))
	}
	it, _ := q.Pop(always)
	require.Equal(t, "a0", it.Key)
	q.Done(it, 0)
	it, _ = q.Pop(always)
	require.Equal(t, "a1", it.Key)
}

func TestWaitIsTheBacklogOverTheRateOfTheShare(t *testing.T) {
	var q Queue[int]
	require.Zero(t, q.Wait("a", "x"))
	for i := range 8 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"))
	}
	require.Equal(t, 100*time.Millisecond, q.Wait("a", "x").Round(time.Millisecond))
	push(t, &q, work("b", "b", "x"))
	require.Equal(t, 200*time.Millisecond, q.Wait("a", "x").Round(time.Millisecond))
}

func TestWaitFollowsTheActualRunTimes(t *testing.T) {
	var q Queue[int]
	for i := range 60 {
		push(t, &q, work(fmt.Sprint("before", i), "a", "x"))
		it, ok := q.Pop(always)
		require.True(t, ok)
		q.Done(it, 10*it.Run)
	}
	for i := range 8 {
		push(t, &q, work(fmt.Sprint("a", i), "a", "x"))
	}
	require.InEpsilon(t, time.Second, q.Wait("a", "x"), 0.05)
}
