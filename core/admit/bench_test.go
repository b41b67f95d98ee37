package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchGate returns a gate whose teams have four kinds with one admitted job each.
func benchGate(b *testing.B, teams int) (*Gate, []Request) {
	b.Helper()
	g := New(rand.New(rand.NewPCG(1, 2)))
	g.SetFleetRate(10)
	g.SetBounds(1_000_000, 0)
	var requests []Request
	for i := range teams {
		g.SetQuota(fmt.Sprint("team-", i), Quota{Starts: 1e9, Running: 1e9})
		for j := range 4 {
			r := job(fmt.Sprint("team-", i), 1)
			r.Kind = fmt.Sprint("kind-", j)
			r.Size = 1
			r.Run = time.Millisecond
			if _, err := g.Admit(r, epoch); err != nil {
				b.Fatal(err)
			}
			requests = append(requests, r)
		}
	}
	return g, requests
}

// BenchmarkAdmit measures a job of one task from admission to end.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{1, 11, 110, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			g, requests := benchGate(b, teams)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := requests[i%len(requests)]
				if _, err := g.Admit(r, epoch); err != nil {
					b.Fatal(err)
				}
				g.Sent(r)
				g.Done(r)
				g.End(r)
				i++
			}
		})
	}
}

// BenchmarkRefuse measures a refusal because of the deadline.
func BenchmarkRefuse(b *testing.B) {
	for _, teams := range []int{1, 11, 110, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			g, requests := benchGate(b, teams)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := requests[i%len(requests)]
				r.Run = time.Hour
				if g.Check(r, epoch) == nil {
					b.Fatal("admitted")
				}
				i++
			}
		})
	}
}
