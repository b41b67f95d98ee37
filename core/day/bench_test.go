package day_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/ended"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

// busyMinute returns the record of a minute in which 110 teams x 4 kinds ended 10 jobs each, one in a hundred refused.
func busyMinute(entry string, minute int) *rollup.Rollup {
	a := tally.New(entry, entry)
	rng := rand.New(rand.NewSource(int64(minute)))
	at := time.Date(2026, 3, 2, 0, 0, 0, 0, auckland).Add(time.Duration(minute) * time.Minute)
	for i := range 110 * 4 * 10 {
		team, kind := fmt.Sprint("team-", i%110), fmt.Sprint("kind-", i%440/110)
		if rng.Intn(100) == 0 {
			a.Refused(at, team, kind, cause.Overload)
			continue
		}
		ideal := time.Duration(50+10*(i%40)) * time.Millisecond
		a.JobEnded(at, team, kind, ended.Complete, "", time.Duration(float64(ideal)*(1+0.3*rng.ExpFloat64())), ideal, 0, 4)
	}
	a.Close(at.Add(time.Second))
	r, _ := a.Next()
	r.Seq = uint64(minute)
	return r
}

// BenchmarkDay adds a whole day of three entries and reports the memory of the summary and the time of each step.
func BenchmarkDay(b *testing.B) {
	for b.Loop() {
		before := heap()
		d := day.New(noon, auckland)
		var bytes int
		var decode, add time.Duration
		for minute := range 24 * 60 {
			for entry := range 3 {
				data, err := busyMinute(fmt.Sprint("entry-", entry), minute).Encode()
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
				begin := time.Now()
				r, err := rollup.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				decode += time.Since(begin)
				begin = time.Now()
				d.Add(r)
				add += time.Since(begin)
			}
		}
		b.ReportMetric(float64(heap()-before)/1e6, "heap-MB")
		b.ReportMetric(float64(bytes)/1e6, "log-MB")
		b.ReportMetric(decode.Seconds()/float64(d.Records())*1e3, "decode-ms/record")
		b.ReportMetric(add.Seconds()/float64(d.Records())*1e3, "add-ms/record")
		begin := time.Now()
		g := d.Digest(d.To())
		b.ReportMetric(time.Since(begin).Seconds()*1e3, "digest-ms")
		begin = time.Now()
		c := d.Clone()
		b.ReportMetric(time.Since(begin).Seconds()*1e3, "clone-ms")
		runtime.KeepAlive(c)
		runtime.KeepAlive(g)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
