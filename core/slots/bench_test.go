package slots

import (
	"fmt"
	"testing"
	"time"

	"persimmonstage/core/needs"
)

// BenchmarkTakeAndEnd measures the check, lease, report and end of one task while 60 others run.
func BenchmarkTakeAndEnd(b *testing.B) {
	s := benchHost(b, 60)
	declared := needs.Vector{Cores: 1, MemoryMB: 100}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if !s.Fits("a", "x", declared) {
			b.Fatal("full")
		}
		if err := s.Take(Lease{Key: "task", Team: "a", Kind: "x", Needs: declared}); err != nil {
			b.Fatal(err)
		}
		s.Report("task", declared, now)
		s.End("task", now)
	}
}

// BenchmarkGuard measures one round of the guard over 60 leases.
func BenchmarkGuard(b *testing.B) {
	s := benchHost(b, 60)
	b.ReportAllocs()
	for b.Loop() {
		s.Guard(start)
	}
}

func benchHost(b *testing.B, leases int) *Slots {
	b.Helper()
	s := host()
	for i := range leases {
		if err := s.Take(Lease{Key: fmt.Sprint(i), Team: "a", Kind: "x", Needs: needs.Vector{Cores: 1, MemoryMB: 1000}}); err != nil {
			b.Fatal(err)
		}
		s.Report(fmt.Sprint(i), needs.Vector{Cores: 1, MemoryMB: 900}, start)
	}
	return s
}
