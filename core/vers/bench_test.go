package vers

import (
	"fmt"
	"strings"
	"testing"

	"persimmonstage/core/fold"
)

// fleetDocument returns a document with the given number of teams (110 at the design size) and ten kinds for each team.
func fleetDocument(b *testing.B, teams, weight int) fold.Document {
	var text strings.Builder
	hash := strings.Repeat("0a", 32)
	fmt.Fprintf(&text, "[operators.ana]\ntoken-hash = \"%s\"\n", hash)
	for i := range teams {
		fmt.Fprintf(&text, "[teams.team-%03d]\nweight = %d\nquota-running = 4000\ntoken-hashes = [\"%s\"]\n", i, 1+i%9, hash)
		for k := range 10 {
			fmt.Fprintf(&text, "[teams.team-%03d.kinds.kind-%d]\nweight = %d\nurgency = %d\nexpected-ms = 250\n", i, k, 1+k, k)
		}
	}
	fmt.Fprintf(&text, "[teams.team-000.kinds.changed]\nweight = %d\n", weight)
	return parse(b, text.String())
}

// newHistoryAndChange returns a history at its first version and the record of the second, which changes one key.
func newHistoryAndChange(b *testing.B, teams int) (*History, []byte) {
	h := &History{}
	first, err := h.Propose("1", 0, "ana", when, fleetDocument(b, teams, 1))
	if err != nil || !h.Apply(1, first) {
		b.Fatal(err)
	}
	next, err := h.Propose("2", 1, "ana", when, fleetDocument(b, teams, 2))
	if err != nil {
		b.Fatal(err)
	}
	return h, next
}

func BenchmarkApplyChange(b *testing.B) {
	for _, teams := range []int{10, 110, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			h, record := newHistoryAndChange(b, teams)
			b.ReportAllocs()
			for b.Loop() {
				again := *h
				if !again.Apply(2, record) {
					b.Fatal("not applied")
				}
			}
			b.ReportMetric(float64(len(record)), "record-bytes")
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, teams := range []int{10, 110, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			agent := &History{}
			h, record := newHistoryAndChange(b, teams)
			if _, err := agent.Adopt(h.Since(0)); err != nil {
				b.Fatal(err)
			}
			h.Apply(2, record)
			update := h.Since(1)
			b.ReportAllocs()
			for b.Loop() {
				again := *agent
				if changed, err := again.Adopt(update); err != nil || !changed {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(update)), "update-bytes")
			b.ReportMetric(float64(len(h.Since(0))), "whole-bytes")
		})
	}
}
