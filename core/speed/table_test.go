package speed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

const ms = time.Millisecond

// world simulates run times with noise and stragglers.
type world struct {
	rng   *rand.Rand
	table speed.Table
	slow  map[int]float64
}

func newWorld() *world {
	return &world{rng: rand.New(rand.NewPCG(3, 4)), slow: map[int]float64{}}
}

// learn makes the table learn tasks of a kind on each of n targets; run is the true run time at speed 1.
func (w *world) learn(n, tasks int, kind string, declared, run time.Duration) {
	for range tasks {
		for i := range n {
			w.table.Learn(at(i), kind, declared, w.ran(i, run))
		}
	}
}

func (w *world) ran(i int, run time.Duration) time.Duration {
	factor := 0.8 + 0.4*w.rng.Float64()
	if w.rng.IntN(50) == 0 {
		factor *= 10
	}
	if slow := w.slow[i]; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(run) * factor)
}

func (w *world) expect(i int, kind string, declared time.Duration) time.Duration {
	return w.table.Expect(at(i), w.table.Kind(kind), declared)
}

func at(i int) target.ID { return target.New(uint32(i), 1) }

func near(t *testing.T, want, got time.Duration, share float64) {
	t.Helper()
	require.InEpsilon(t, float64(want), float64(got), share)
}

func TestWithoutSamplesTheDeclaredTimeIsExpected(t *testing.T) {
	w := newWorld()
	require.Equal(t, 70*ms, w.expect(0, "renewal", 70*ms))
	require.Equal(t, 200*ms, w.expect(0, "renewal", 0))
}

func TestLearnsPastDeclaredTimesTenTimesOff(t *testing.T) {
	for _, declared := range []time.Duration{10 * ms, 1000 * ms, 0} {
		w := newWorld()
		w.slow[1] = 4
		w.learn(4, 20, "renewal", declared, 100*ms)
		near(t, 120*ms, w.expect(0, "renewal", declared), 0.3)
		near(t, 480*ms, w.expect(1, "renewal", declared), 0.3)
		require.InEpsilon(t, 4, w.table.Factor(at(1))/w.table.Factor(at(0)), 0.3)
	}
}

func TestUnknownTargetAndKindUseTheOtherEstimates(t *testing.T) {
	w := newWorld()
	w.slow[1] = 4
	w.learn(4, 30, "renewal", 0, 100*ms)
	unseen := w.expect(9, "renewal", 0)
	require.Greater(t, unseen, w.expect(0, "renewal", 0))
	require.Less(t, unseen, w.expect(1, "renewal", 0))
	fast, slow := w.expect(0, "swap", 50*ms), w.expect(1, "swap", 50*ms)
	require.InEpsilon(t, 4, float64(slow)/float64(fast), 0.3)
}

func TestUsesDeclaredTimesThatDistinguishTasks(t *testing.T) {
	w := newWorld()
	for range 40 {
		for i := range 4 {
			w.table.Learn(at(i), "cut", 10*ms, w.ran(i, 100*ms))
			w.table.Learn(at(i), "cut", 200*ms, w.ran(i, 2000*ms))
		}
	}
	near(t, 120*ms, w.expect(0, "cut", 10*ms), 0.3)
	near(t, 2400*ms, w.expect(0, "cut", 200*ms), 0.3)
}

func TestFollowsATargetThatBecomesTenTimesSlower(t *testing.T) {
	w := newWorld()
	w.learn(4, 200, "renewal", 0, 100*ms)
	w.slow[2] = 10
	tasks := 0
	for w.expect(2, "renewal", 0) < 500*ms {
		w.table.Learn(at(2), "renewal", 0, w.ran(2, 100*ms))
		tasks++
	}
	require.LessOrEqual(t, tasks, 16, "two rounds of a target's 8 slots")
	near(t, 120*ms, w.expect(1, "renewal", 0), 0.3)
}

func TestLearnsAPairThatDeviatesFromTheProduct(t *testing.T) {
	w := newWorld()
	for range 60 {
		w.learn(4, 1, "renewal", 0, 100*ms)
		w.learn(4, 1, "swap", 0, 100*ms)
		w.table.Learn(at(4), "renewal", 0, w.ran(4, 100*ms))
		w.table.Learn(at(4), "swap", 0, w.ran(4, 400*ms))
	}
	near(t, 120*ms, w.expect(4, "renewal", 0), 0.4)
	near(t, 480*ms, w.expect(4, "swap", 0), 0.4)
}

func TestNewGenerationStartsAfresh(t *testing.T) {
	w := newWorld()
	w.slow[0] = 4
	w.learn(4, 30, "renewal", 0, 100*ms)
	require.Greater(t, w.table.Factor(at(0)), 2.0)
	require.InDelta(t, 1, w.table.Factor(target.New(0, 2)), 1e-9)
	w.table.Learn(target.New(0, 2), "renewal", 0, 100*ms)
	require.Less(t, w.table.Factor(target.New(0, 2)), 1.5)
}

func TestASlowTargetWithoutWorkDecaysToTheMean(t *testing.T) {
	w := newWorld()
	w.slow[0] = 10
	w.learn(4, 30, "renewal", 0, 100*ms)
	decayed := 0
	for range 31 {
		w.table.Learn(at(1), "renewal", 0, 100*ms)
		w.table.Decay(func(id target.ID) {
			if id == at(0) {
				decayed++
			}
		})
	}
	require.Equal(t, 30, decayed, "not in the first round, as it had samples before")
	require.Less(t, w.table.Factor(at(0)), 2.0)
}

func TestKindsAreBounded(t *testing.T) {
	w := newWorld()
	w.learn(1, 10, "renewal", 0, 100*ms)
	for i := range 10_000 {
		w.table.Kind(fmt.Sprint("kind-", i))
		require.Less(t, w.table.Kind("renewal"), 4096)
	}
	near(t, 120*ms, w.expect(0, "renewal", 0), 0.5)
}

func BenchmarkExpect(b *testing.B) {
	w := newWorld()
	w.learn(1000, 5, "renewal", 0, 100*ms)
	k := w.table.Kind("renewal")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		w.table.Expect(at(i%1000), k, 0)
		i++
	}
}

func BenchmarkLearn(b *testing.B) {
	w := newWorld()
	w.learn(1000, 5, "renewal", 0, 100*ms)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		w.table.Learn(at(i%1000), "renewal", 0, 100*ms)
		i++
	}
}
