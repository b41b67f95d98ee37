package runs

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const expectedRun = 200 * time.Millisecond

// runTimeRatio returns a random ratio of a run time to the expected one, whose error is some 30 %.
func runTimeRatio(rng *rand.Rand) float64 { return math.Exp(0.3 * rng.NormFloat64()) }

func TestPaceOfASteadyTargetIsWithinTenPercent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var p pace
	now := time.Unix(1000, 0)
	within, all := 0, 0
	for i := range 5000 {
		now = now.Add(20 * time.Millisecond)
		p.learn(now, time.Duration(1.2*runTimeRatio(rng)*float64(expectedRun)), expectedRun)
		if i < 100 {
			continue
		}
		all++
		if ratio := p.value() / 1.2; ratio > 0.9 && ratio < 1.1 {
			within++
		}
	}
	require.Greater(t, float64(within)/float64(all), 0.95)
}

func TestPaceFollowsAChangeWithinTenRuns(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var p pace
	now := time.Unix(1000, 0)
	run := func(truth float64, n int) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			p.learn(now, time.Duration(truth*runTimeRatio(rng)*float64(expectedRun)), expectedRun)
		}
	}
	run(1.2, 200)
	run(7.8, 10)
	require.Greater(t, p.value(), 0.6*7.8)
	run(1.2, 10)
	require.Less(t, p.value(), 1.6*1.2)
}

func TestOneLongRunBarelyChangesThePace(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.runs.StartAnswered(g.now, Key{"a", 1}, Accepted, "")
	for percent := range 20 {
		g.advance(50 * time.Millisecond)
		g.poll(listedOne("a", percent), nil)
	}
	require.Less(t, g.runs.State(g.now, "e").Pace, 2.0, "20 polls of one run of ten times the expected time")
}
