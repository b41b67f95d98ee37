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
	delay   bool // whether large jobs are delayed at the agents
	large   bool // whether jobs have up to 160 tasks instead of one
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

// kinds have a usual run time and a declared one that may be wrong by a factor of ten.
var kinds = []struct {
	name          string
	cumulative    float64 // share of the jobs that are of this kind or an earlier one
	run, declared time.Duration
}{
	{"stock", 0.4, 50 * time.Millisecond, 200 * time.Millisecond},
	{"renewal", 0.8, 200 * time.Millisecond, 20 * time.Millisecond},
	{"label", 0.95, 500 * time.Millisecond, 0},
	{"cut", 1, 2 * time.Second, 10 * time.Second},
}

// draw returns a random job, its tasks and the sum of their run times.
func (b *sim) draw() (j *job, tasks []*item, total time.Duration) {
	j = &job{left: 1}
	for u := b.jobRand.Float64(); kinds[j.kind].cumulative < u; {
		j.kind++
	}
	if b.large {
		j.left = int(math.Exp2(b.jobRand.Float64() * b.jobRand.Float64() * math.Log2(161)))
	}
	for range j.left {
		base := time.Duration(float64(kinds[j.kind].run) * (0.7 + 0.6*b.jobRand.Float64()))
		tasks = append(tasks, &item{job: j, base: base})
		j.ideal = max(j.ideal, base)
		total += base
	}
	j.ideal = max(j.ideal, time.Duration(float64(total)/b.capacity()))
	return j, tasks, total
}

// meanWork returns the mean work of a job in seconds at full speed.
func (b *sim) meanWork() float64 {
	mean := 0.0
	for range b.jobs {
		_, _, total := b.draw()
		mean += total.Seconds() / float64(b.jobs)
	}
	return mean
}

// capacity returns the run time at full speed that all targets complete per unit of time.
func (b *sim) capacity() float64 {
	sum := 0.0
	for _, f := range b.fakeTargets {
		sum += slotsEach / f.slow
	}
	return sum
}

// newSim returns a simulation of targets in three data centres, two of five of them slow, and entries that know all of them.
func newSim(s setting) *sim {
	b := &sim{setting: s, jobRand: rand.New(rand.NewPCG(7, 11)), policyRand: rand.New(rand.NewPCG(5, 6))}
	for i := range targets {
		f := &fakeTarget{sim: b, id: target.New(uint32(i), 1), zone: i % 3, slow: 1 + (s.slow-1)*float64(i/3%2), held: map[*item]bool{}}
		b.fakeTargets = append(b.fakeTargets, f)
	}
	for i := range s.entries {
		e := &fakeEntry{sim: b, zone: i}
		e.placer = place.New(s.policy, &e.roster, &e.table, 2*(far-near))
		e.placer.DelayLarge(s.delay)
		for i, f := range b.fakeTargets {
			e.roster.Announce(fmt.Sprint(i), "a", fmt.Sprint("kl-", f.zone), fmt.Sprint(i%4), needs.Vector{Slots: slotsEach}, start)
		}
		b.fakeEntries = append(b.fakeEntries, e)
	}
	return b
}

// TestChosenPolicyMeetsTheTargets checks the default policy against the figures required of placement.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, entries := range []int{1, 3} {
		s := setting{load: 0.8, slow: 4, entries: entries, jobs: 3000}
		ratios, _ := s.compare()
		s.policy = place.Random
		random, _ := s.compare()
		require.Less(t, ratios[len(ratios)/2], 1.1)
		require.LessOrEqual(t, ratios[len(ratios)*99/100], random[len(random)*99/100]/2)
		for load, most := range map[float64]float64{0.6: 0.1, 0.95: 1} {
			_, wasted := setting{load: load, slow: 4, entries: entries, large: true, jobs: 1000}.compare()
			require.LessOrEqual(t, wasted, most)
		}
	}
}

// BenchmarkCompare reports p50 and p99 of the ratio of response time to ideal time, and the wasted messages per start.
func BenchmarkCompare(b *testing.B) {
	for _, p := range policies {
		for i := range 40 {
			s := setting{policy: p.p, delay: p.delay, jobs: 10_000, load: []float64{0.3, 0.6, 0.8, 0.9, 0.95}[i%5], large: i/5%2 > 0, entries: 1 + i/10%2*2, slow: 1 + float64(i/20*3)}
			b.Run(fmt.Sprintf("%s/slow=%v/entries=%d/big=%v/load=%v", p.name, s.slow, s.entries, s.large, s.load), func(b *testing.B) {
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
