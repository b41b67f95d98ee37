package stepped

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
)

var (
	floodSeeds = flag.Int("flood-seeds", 0, "number of seeds of the comparison of floods; 0 skips it")
	floodSpan  = flag.Duration("flood-span", 60*time.Second, "how long jobs arrive in each run of the comparison")
	floodLoad  = flag.Float64("flood-load", 0.3, "share of the capacity that the other work takes")
	calmSlow   = flag.Float64("calm-slow", 1, "how many times slower every second target is")
)

const floodFactor = 10

// runPhase submits the other work, and a flood as well if one is named, and returns the score of the jobs of the span.
func (f *fleet) runPhase(seed uint64, load float64, span time.Duration, flood string) *score.Score {
	f.score = &score.Score{}
	kinds := mix.Fixed(1, 0)
	slots := float64(fleetAgents * fleetSlots)
	until := f.now.Add(span)
	f.submitMix(mix.New(kinds, load*slots/mix.MeanWork(kinds).Seconds(), seed), until)
	if k, ok := mix.Flood(flood); ok {
		rate := floodFactor * slots / mix.MeanWork([]mix.Kind{k}).Seconds()
		f.submitMix(mix.New([]mix.Kind{k}, rate, seed+1), until)
	}
	f.run(until)
	f.run(until.Add(10 * time.Second))
	return f.score
}

// TestFloodsCompared logs how much of its throughput and p99 the other work keeps during each flood.
func TestFloodsCompared(t *testing.T) {
	if *floodSeeds == 0 {
		t.Skip("compares only with -flood-seeds")
	}
	for _, flood := range []string{"least", "most", "small-jobs", "huge-jobs"} {
		worst := map[string]score.Retention{}
		sum := map[string]float64{}
		busy, refused := 0, 0
		for seed := range *floodSeeds {
			f := newFleet(uint64(seed), 1)
			f.runPhase(uint64(seed)+100, *floodLoad, 10*time.Second, "")
			calm := f.runPhase(uint64(seed)+200, *floodLoad, *floodSpan, "")
			before, back := f.starts, f.refusals
			beside := f.runPhase(uint64(seed)+200, *floodLoad, *floodSpan, flood)
			busy += f.starts - before
			refused += f.refusals - back
			for _, k := range score.Compare(calm, beside) {
				name := k.Team + "/" + k.Kind
				sum[name] += k.P99
				w, ok := worst[name]
				if !ok || k.P99 > w.P99 {
					w.P99 = k.P99
				}
				if !ok || k.Throughput < w.Throughput {
					w.Throughput = k.Throughput
				}
				worst[name] = w
			}
		}
		line := fmt.Sprintf("%-10s", flood)
		for _, name := range []string{"senandung/stock", "senandung/renewal", "kowhai/price", "kowhai/label", "kowhai/cut"} {
			w := worst[name]
			line += fmt.Sprintf(" | %s %.3f %.2f %.2f", name, w.Throughput, sum[name]/float64(*floodSeeds), w.P99)
		}
		t.Logf("%s | starts %d refusals %d", line, busy, refused)
	}
}

// TestCalmCompared logs the ratio of response to ideal time without a flood.
func TestCalmCompared(t *testing.T) {
	if *floodSeeds == 0 {
		t.Skip("compares only with -flood-seeds")
	}
	var s score.Score
	starts, refused := 0, 0
	for seed := range *floodSeeds {
		f := newFleet(uint64(seed), *calmSlow)
		share := *floodLoad * (1 + 1 / *calmSlow) / 2
		f.runPhase(uint64(seed)+100, share, 20*time.Second, "")
		starts, refused = starts-f.starts, refused-f.refusals
		s.Merge(f.runPhase(uint64(seed)+200, share, *floodSpan, ""))
		starts, refused = starts+f.starts, refused+f.refusals
	}
	line := fmt.Sprintf("load %.2f slow %.0f", *floodLoad, *calmSlow)
	for _, r := range s.Rows() {
		line += fmt.Sprintf(" | %s %.2f %.2f", r.Kind, r.OverIdeal.P50, r.OverIdeal.P99)
	}
	t.Logf("%s | wasted %.3f", line, 2*float64(refused)/float64(starts))
}

// TestOtherWorkKeepsItsThroughputDuringAFlood requires at least 95% of the throughput and at most twice the p99 of other work.
func TestOtherWorkKeepsItsThroughputDuringAFlood(t *testing.T) {
	for _, flood := range []string{"least", "most", "small-jobs", "huge-jobs"} {
		f := newFleet(1, 1)
		f.runPhase(1, 0.3, 10*time.Second, "")
		calm := f.runPhase(2, 0.3, 60*time.Second, "")
		for _, k := range score.Compare(calm, f.runPhase(2, 0.3, 60*time.Second, flood)) {
			require.GreaterOrEqual(t, k.Throughput, 0.95, "%s beside %s", k.Kind, flood)
			require.LessOrEqual(t, k.P99, 2.0, "%s beside %s", k.Kind, flood)
		}
	}
}
