package queue

import (
	"fmt"
	"testing"
	"time"
)

func benchItems(teams, kinds int) []Item[int] {
	var items []Item[int]
	for i := range teams {
		for j := range kinds {
			items = append(items, Item[int]{
				Team: fmt.Sprint("team-", i), Kind: fmt.Sprint("kind-", j),
				Run: time.Duration(50+i) * time.Millisecond, Size: 125,
			})
		}
	}
	return items
}

// BenchmarkPushPop measures one push, one pop and one completion while depth items of each share wait.
func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{1, 11, 110, 1000} {
		for _, depth := range []int{1, 40} {
			b.Run(fmt.Sprintf("teams=%d/depth=%d", teams, depth), func(b *testing.B) {
				benchPushPop(b, teams, depth)
			})
		}
	}
}

func benchPushPop(b *testing.B, teams, depth int) {
	var q Queue[int]
	q.SetBounds(1_000_000, 0)
	items := benchItems(teams, 4)
	keys := make([]string, len(items)*(depth+1))
	for i := range keys {
		keys[i] = fmt.Sprint(i)
	}
	for i := range len(items) * depth {
		it := items[i%len(items)]
		it.Key = keys[i]
		if err := q.Push(it); err != nil {
			b.Fatal(err)
		}
	}
	spare := keys[len(items)*depth]
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		it := items[i%len(items)]
		it.Key = spare
		if err := q.Push(it); err != nil {
			b.Fatal(err)
		}
		out, _ := q.Pop(always)
		spare = out.Key
		q.Done(out, out.Run)
		i++
	}
}

// BenchmarkPopNothingFits measures the search when the first item of none of 440 shares fits.
func BenchmarkPopNothingFits(b *testing.B) {
	var q Queue[int]
	for i, it := range benchItems(110, 4) {
		it.Key = fmt.Sprint(i)
		if err := q.Push(it); err != nil {
			b.Fatal(err)
		}
	}
	never := func(*Item[int], bool) bool { return false }
	b.ReportAllocs()
	for b.Loop() {
		q.Pop(never)
	}
}

// BenchmarkFill measures the memory of a waiting item without its key and value.
func BenchmarkFill(b *testing.B) {
	const waiting = 10_000
	items := benchItems(110, 4)
	keys := make([]string, waiting)
	for i := range keys {
		keys[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		var q Queue[int]
		q.SetBounds(100_000, 0)
		for i, key := range keys {
			it := items[i%len(items)]
			it.Key = key
			if err := q.Push(it); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(waiting, "items/op")
}
