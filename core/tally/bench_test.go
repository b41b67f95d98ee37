package tally_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/tally"
)

const (
	benchTeams = 110
	benchKinds = 4
)

var benchNames = func() (names [benchTeams * benchKinds][2]string) {
	for i := range names {
		names[i] = [2]string{fmt.Sprint("team-", i/benchKinds), fmt.Sprint("kind-", i%benchKinds)}
	}
	return names
}()

func benchJob(a *tally.Tally, rng *rand.Rand, now time.Time, i int) {
	n := benchNames[i%len(benchNames)]
	ideal := time.Duration(50+10*(i%40)) * time.Millisecond
	response := time.Duration(float64(ideal) * (1 + 0.3*rng.ExpFloat64()))
	a.JobEnded(now, n[0], n[1], ended.Complete, "", response, ideal, 0, 4)
}

// BenchmarkJobEnded counts one job for one of 110 teams x 4 kinds.
func BenchmarkJobEnded(b *testing.B) {
	a := tally.New("e1", "i1")
	rng := rand.New(rand.NewSource(1))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		benchJob(a, rng, start, i)
	}
}

// BenchmarkRecord encodes the record of a minute of 110 teams x 4 kinds with the given number of jobs each.
func BenchmarkRecord(b *testing.B) {
	for _, jobs := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			a := tally.New("e1", "i1")
			rng := rand.New(rand.NewSource(1))
			for i := range jobs * len(benchNames) {
				benchJob(a, rng, start, i)
			}
			a.Close(start.Add(time.Second))
			r, _ := a.Next()
			var size int
			for b.Loop() {
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(len(benchNames)), "bytes/series")
			b.ReportMetric(float64(size)/60, "bytes/s")
		})
	}
}

// BenchmarkOutage buffers a day of 110 teams x 4 kinds with 10 jobs a minute each, one in a hundred refused, while the log
// is unavailable.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		a := tally.New("e1", "i1")
		rng := rand.New(rand.NewSource(1))
		before := heap()
		for m := range 24 * 60 {
			now := start.Add(time.Duration(m) * time.Minute)
			for i := range 10 * len(benchNames) {
				if rng.Intn(100) == 0 {
					n := benchNames[i%len(benchNames)]
					a.Refused(now, n[0], n[1], cause.Overload)
					continue
				}
				benchJob(a, rng, now, i)
			}
			if m == 14 {
				b.ReportMetric(float64(heap()-before)/15/1e6, "MB/minute")
			}
		}
		records, held := a.Backlog()
		var lost int64
		for _, r := range a.Pending() {
			lost += r.LostJobs
		}
		b.ReportMetric(float64(heap()-before)/1e6, "heap-MB")
		b.ReportMetric(float64(held)/1e6, "estimated-MB")
		b.ReportMetric(float64(records), "records")
		b.ReportMetric(float64(lost), "jobs-lost")
		runtime.KeepAlive(a)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
