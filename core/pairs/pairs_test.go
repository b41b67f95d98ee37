package pairs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	standInKinds   = 6
	standInTargets = 12
	jobError       = 0.4  // of the expected run time, alike for the tasks of a job
	taskError      = 0.15 // of a task
	seeds          = 20
)

// standIn produces the ends of jobs at targets on which some kinds slow others down by known factors.
type standIn struct {
	rng     *rand.Rand
	model   *Pairs
	factors map[[2]int]float64 // by the slowed kind and the other one
	bias    [standInTargets]float64
	only    map[int]int // the only target of some kinds
	ends    int
	apart   map[[2]string]bool
	found   map[[2]string]int // the number of ends after which a pair was first found
	changes int
	now     time.Time
}

func newStandIn(seed uint64, factors map[[2]int]float64) *standIn {
	return &standIn{
		rng: rand.New(rand.NewPCG(seed, 0)), model: New(), factors: factors, only: map[int]int{},
		apart: map[[2]string]bool{}, found: map[[2]string]int{},
	}
}

// standInNames are the names of kinds and targets, and standInIDs the kinds.
var standInNames, standInIDs = func() (names []string, ids []Kind) {
	for i := range max(standInKinds, standInTargets) {
		names = append(names, fmt.Sprint("kind-", i))
		ids = append(ids, KindOf(names[i]))
	}
	return names, ids
}()

func kindName(k int) string { return standInNames[k] }

// job ends a job of n tasks of kind k; a long job runs beside more, and for longer.
func (s *standIn) job(k, n int) {
	long := s.rng.NormFloat64() * jobError
	samples := make([]Sample, 0, n)
	for range n {
		target := s.rng.IntN(standInTargets)
		v := Sample{Target: kindName(target), Beside: make([]Share, 0, standInKinds), Log: long + s.bias[target] + s.rng.NormFloat64()*taskError}
		for other := range standInKinds {
			if at, ok := s.only[other]; ok && at != target {
				continue
			}
			runs := max(0, s.rng.NormFloat64()*0.5+0.7)
			if runs == 0 {
				continue
			}
			v.Beside = append(v.Beside, Share{standInIDs[other], runs})
			if f := s.factors[[2]int{k, other}]; f > 0 {
				v.Log += math.Log(f) * runs
			}
		}
		samples = append(samples, v)
	}
	s.ends += n
	s.note(s.model.Learn(kindName(k), samples))
}

func (s *standIn) note(list []Change) {
	for _, c := range list {
		pair := [2]string{c.Slowed, c.By}
		s.changes++
		s.apart[pair] = c.Apart
		if _, known := s.found[pair]; c.Apart && !known {
			s.found[pair] = s.ends
		}
	}
}

func (s *standIn) run(ends, tasks int) {
	for until := s.ends + ends; s.ends < until; {
		s.job(s.rng.IntN(standInKinds), tasks)
	}
}

// TestPairsAreFoundAndOthersAreNot guards against pairs that slow each other down unnoticed, and against pairs that are kept apart for
// nothing: of six kinds, 0 is slowed by 1 and 2 by itself; estimates of run times are off by 40 % a job, and targets by up to 30 %.
func TestPairsAreFoundAndOthersAreNot(t *testing.T) {
	for _, tasks := range []int{1, 2, 4, 8} {
		latest, wrong := 0, 0
		for seed := range uint64(seeds) {
			s := newStandIn(seed, map[[2]int]float64{{0, 1}: 1.5, {2, 2}: 1.5, {3, 4}: 1.03})
			for i := range s.bias {
				s.bias[i] = s.rng.NormFloat64() * 0.3
			}
			s.run(30_000, tasks)
			for _, pair := range [][2]string{{kindName(0), kindName(1)}, {kindName(2), kindName(2)}} {
				require.True(t, s.apart[pair], "%v, seed %d", pair, seed)
				latest = max(latest, s.found[pair])
				delete(s.found, pair)
			}
			wrong += len(s.found)
		}
		t.Logf("%d tasks a job: both pairs found after at most %d ends of all kinds; %d false pairs of %d, in %d ends",
			tasks, latest, wrong, seeds*(standInKinds*standInKinds-2), seeds*30_000)
		require.Zero(t, wrong)
	}
}

// TestASlowTargetIsNoPair guards against a pair that is blamed for a slow target: kind 1 runs only at the one target that is three times
// slower than its pace says.
func TestASlowTargetIsNoPair(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newStandIn(seed, nil)
		s.bias[3] = math.Log(3)
		s.only[1] = 3
		s.run(30_000, 4)
		require.Empty(t, s.found, "seed %d", seed)
	}
}

// TestAChangedFactorIsNoticed guards against pairs that are kept apart although they no longer slow each other down, and the reverse.
func TestAChangedFactorIsNoticed(t *testing.T) {
	pair := [2]string{kindName(0), kindName(1)}
	latest := 0
	for seed := range uint64(seeds) {
		s := newStandIn(seed, map[[2]int]float64{{0, 1}: 1.5})
		s.run(20_000, 4)
		require.True(t, s.apart[pair])
		s.factors[[2]int{0, 1}] = 1
		before := s.ends
		for s.apart[pair] && s.ends < before+60_000 {
			s.run(100, 4)
		}
		require.False(t, s.apart[pair], "seed %d", seed)
		latest = max(latest, s.ends-before)
		require.Equal(t, 2, s.changes, "seed %d", seed)
	}
	t.Logf("released after at most %d ends of all kinds", latest)
}

// TestAPairNearTheLimitDoesNotAlternate guards against placements that change again and again because an estimate is close to the limit.
func TestAPairNearTheLimitDoesNotAlternate(t *testing.T) {
	most := 0
	for seed := range uint64(seeds) {
		s := newStandIn(seed, map[[2]int]float64{{0, 1}: 1.2})
		s.run(100_000, 4)
		most = max(most, s.changes)
	}
	t.Logf("at most %d changes in 100,000 ends", most)
	require.LessOrEqual(t, most, 2)
}

// TestAPairWithoutEvidenceIsReleased guards against a pair that is kept apart for ever, since then nothing shows that it has changed.
func TestAPairWithoutEvidenceIsReleased(t *testing.T) {
	s := newStandIn(1, map[[2]int]float64{{0, 1}: 1.5})
	s.run(20_000, 4)
	require.Len(t, s.model.Estimates(), 1)
	require.Equal(t, []Partner{{KindOf(kindName(1)), s.model.Partners(KindOf(kindName(0)))[0].Slowdown}}, s.model.Partners(KindOf(kindName(0))))
	require.Len(t, s.model.Partners(KindOf(kindName(1))), 1)
	for range 24 * 60 * 6 {
		s.now = s.now.Add(decayPeriod)
		s.note(s.model.Decay(s.now))
	}
	require.Empty(t, s.model.Estimates())
	require.Empty(t, s.model.Apart())
}

// TestMemoryIsBoundedWithManyKinds guards against a model that grows with the square of the number of kinds.
func TestMemoryIsBoundedWithManyKinds(t *testing.T) {
	p, rng := New(), rand.New(rand.NewPCG(1, 0))
	for range 50_000 {
		var samples []Sample
		for range 2 {
			samples = append(samples, Sample{Target: fmt.Sprint(rng.IntN(3000)), Beside: []Share{{Kind(rng.Uint32N(1000)), rng.Float64()}}})
		}
		p.Learn(fmt.Sprint(rng.IntN(1000)), samples)
		require.LessOrEqual(t, p.count, maxPairs)
	}
	count := 0
	for _, k := range p.kinds {
		count += len(k.pairs)
	}
	require.Equal(t, p.count, count)
	require.LessOrEqual(t, len(p.targets), maxTargets)
}
