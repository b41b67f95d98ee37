package page_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/ended"
	"persimmonstage/core/tally"
	"persimmonstage/io/page"
)

// BenchmarkHTML renders a day on which one job of each of 110 teams x 4 kinds was refused.
func BenchmarkHTML(b *testing.B) {
	at := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	a := tally.New("entry-1", "i")
	for i := range 440 {
		team, kind := fmt.Sprint("team-", i%110), fmt.Sprint("kind-", i/110)
		a.JobEnded(at, team, kind, ended.Complete, "", time.Second, time.Second, 0, 1)
		a.Refused(at, team, kind, cause.OverQuota)
	}
	a.Close(at)
	d := day.New(at, time.UTC)
	r, _ := a.Next()
	d.Add(r)
	p := page.New(d.Digest(at.Add(time.Hour)))
	var size int
	for b.Loop() {
		var w bytes.Buffer
		if err := p.WriteHTML(&w); err != nil {
			b.Fatal(err)
		}
		size = w.Len()
	}
	b.ReportMetric(float64(size)/1e3, "kB")
}
