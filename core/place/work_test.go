package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/needs"
	"persimmonstage/core/place"
	"persimmonstage/core/target"
)

type setting struct {
	policy  place.Policy
	load    float64
	slow    float64 // how many times slower two of five targets are
	entries int
	jobs    int
	delay   bool // large jobs at the agents
	big     bool // jobs of up to 160 tasks, in place of one task each
}

var policies = []struct {
	name  string
	p     place.Policy
	delay bool
}{
	{"random", place.Random, false},
	{"two-choices", place.TwoChoices, false},
	{"reservations", place.Reservations, false},
	{"idle-first", place.IdleFirst, false},
	{"soonest", place.Soonest, false},
	{"bounded", place.Bounded, false},
	{"small-first", place.Bounded, true},
}

// kinds have a usual run time and one that is declared, up to ten times off.
var kinds = []struct {
	name          string
	upTo          float64 // share of the jobs that are of this kind or one before it
	run, declared time.Duration
}{
	{"stock", 0.4, 50 * time.Millisecond, 200 * time.Millisecond},
	{"renewal", 0.8, 200 * time.Millisecond, 20 * time.Millisecond},
	{"label", 0.95, 500 * time.Millisecond, 0},
	{"cut", 1, 2 * time.Second, 10 * time.Second},
}

// draw returns a job, its tasks and their work.
func (b *bench) draw() (j *job, tasks []*item, total time.Duration) {
	j = &job{left: 1}
	for u := b.work.Float64(); kinds[j.kind].upTo < u; {
		j.kind++
	}
	if b.big {
		j.left = int(math.Exp2(b.work.Float64() * b.work.Float64() * math.Log2(161)))
	}
	for range j.left {
		base := time.Duration(float64(kinds[j.kind].run) * (0.7 + 0.6*b.work.Float64()))
		tasks = append(tasks, &item{job: j, base: base})
		j.ideal = max(j.ideal, base)
		total += base
	}
	j.ideal = max(j.ideal, time.Duration(float64(total)/b.capacity()))
	return j, tasks, total
}

// meanWork is the mean work of a job in seconds at full speed.
func (b *bench) meanWork() float64 {
	mean := 0.0
	for range b.jobs {
		_, _, total := b.draw()
		mean += total.Seconds() / float64(b.jobs)
	}
	return mean
}

// capacity is the run time at full speed that the targets work off in a unit of time.
func (b *bench) capacity() float64 {
	sum := 0.0
	for _, f := range b.fakes {
		sum += slotsEach / f.slow
	}
	return sum
}

// newBench returns targets of three data centres, two of five of them slow, and entries that know them all.
func newBench(s setting) *bench {
	b := &bench{setting: s, work: rand.New(rand.NewPCG(7, 11)), dice: rand.New(rand.NewPCG(5, 6))}
	for i := range targets {
		f := &fake{bench: b, id: target.New(uint32(i), 1), zone: i % 3, slow: 1 + (s.slow-1)*float64(i/3%2), held: map[*item]bool{}}
		b.fakes = append(b.fakes, f)
	}
	for i := range s.entries {
		e := &front{bench: b, zone: i}
		e.placer = place.New(s.policy, &e.roster, &e.table, 2*(far-near))
		e.placer.DelayLarge(s.delay)
		for i, f := range b.fakes {
			e.roster.Announce(fmt.Sprint(i), "a", fmt.Sprint("kl-", f.zone), fmt.Sprint(i%4), needs.Vector{Slots: slotsEach}, start)
		}
		b.fronts = append(b.fronts, e)
	}
	return b
}

// TestChosenPolicyMeetsTheTargets holds the default policy to the figures that are asked of placement.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, entries := range []int{1, 3} {
		s := setting{load: 0.8, slow: 4, entries: entries, jobs: 3000}
		ratios, _ := s.compare()
		s.policy = place.Random
		random, _ := s.compare()
		require.Less(t, ratios[len(ratios)/2], 1.1)
		require.LessOrEqual(t, ratios[len(ratios)*99/100], random[len(random)*99/100]/2)
		for load, most := range map[float64]float64{0.6: 0.1, 0.95: 1} {
			_, wasted := setting{load: load, slow: 4, entries: entries, big: true, jobs: 1000}.compare()
			require.LessOrEqual(t, wasted, most)
		}
	}
}

// BenchmarkCompare reports p50 and p99 of response over ideal and the wasted messages per start.
func BenchmarkCompare(b *testing.B) {
	for _, p := range policies {
		for i := range 40 {
			s := setting{policy: p.p, delay: p.delay, jobs: 10_000, load: []float64{0.3, 0.6, 0.8, 0.9, 0.95}[i%5], big: i/5%2 > 0, entries: 1 + i/10%2*2, slow: 1 + float64(i/20*3)}
			b.Run(fmt.Sprintf("%s/slow=%v/entries=%d/big=%v/load=%v", p.name, s.slow, s.entries, s.big, s.load), func(b *testing.B) {
				for b.Loop() {
					ratios, wasted := s.compare()
					b.ReportMetric(ratios[len(ratios)/2], "p50")
					b.ReportMetric(ratios[len(ratios)*99/100], "p99")
					b.ReportMetric(wasted, "wasted/start")
				}
			})
		}
	}
}
