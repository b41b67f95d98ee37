package span

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestQuantilesFollowTheJobs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var s Spans
	now := time.Unix(1000, 0)
	_, known := s.Ratio("q", 0.5)
	require.False(t, known)
	for range generationJobs {
		s.Learn(now, "q", time.Duration(float64(200*ms)*math.Exp(0.3*rng.NormFloat64())), 200*ms)
	}
	for _, c := range []struct{ quantile, normal float64 }{{0.02, -2.054}, {0.5, 0}, {0.95, 1.645}} {
		ratio, known := s.Ratio("q", c.quantile)
		require.True(t, known)
		require.InEpsilon(t, math.Exp(0.3*c.normal), ratio, 0.08, "%v", c.quantile)
		run, _ := s.Run("q", c.quantile)
		require.InEpsilon(t, math.Exp(0.3*c.normal)*float64(200*ms), float64(run), 0.15, "%v", c.quantile)
	}
	_, known = s.Ratio("q", 0.0001)
	require.False(t, known, "less than one of the jobs is expected below")
}

func TestOldJobsAreForgotten(t *testing.T) {
	var s Spans
	now := time.Unix(1000, 0)
	for i := range 3 * generationJobs {
		run := 200 * ms
		if i >= generationJobs {
			run = 400 * ms
		}
		s.Learn(now, "q", run, 200*ms)
	}
	ratio, known := s.Ratio("q", 0.02)
	require.True(t, known)
	require.InEpsilon(t, 2, ratio, 0.02)
	for range 3 {
		now = now.Add(generationTime)
		s.Learn(now, "q", 100*ms, 200*ms)
	}
	require.LessOrEqual(t, s.routes["q"].older.runs.TotalCount(), int64(2))
}

func TestExtremesAndMemoryAreBounded(t *testing.T) {
	var s Spans
	now := time.Unix(1000, 0)
	for i := range 2 * maxRoutes {
		s.Learn(now, fmt.Sprint("q", i), 1000*time.Hour, ms)
		s.Learn(now, fmt.Sprint("q", i), 1, time.Hour)
		s.Learn(now, fmt.Sprint("q", i), -1, time.Hour)
		s.Learn(now, fmt.Sprint("q", i), 300*ms, 0)
	}
	require.Len(t, s.routes, maxRoutes)
	require.Equal(t, int64(3), s.routes["q0"].older.runs.TotalCount())
	require.Equal(t, int64(2), s.routes["q0"].older.ratios.TotalCount())
}
