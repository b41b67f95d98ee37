package score_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/score"
)

func fill(s *score.Score, kind string, complete, refused int, ratio float64) {
	for range complete {
		s.Add(&score.JobResult{
			Team: "kits", Kind: kind, Outcome: score.Complete, Tasks: 2,
			Response: time.Duration(ratio * float64(time.Second)), Ideal: time.Second, Floor: 2 * time.Second,
		})
	}
	for range refused {
		s.Add(&score.JobResult{Team: "kits", Kind: kind, Outcome: "refused", Reason: "quota", Ideal: time.Second})
	}
}

func TestRowsCountOutcomesAndRatios(t *testing.T) {
	var a, b score.Score
	fill(&a, "label", 3, 1, 4)
	fill(&b, "price", 4, 0, 2)
	a.Merge(&b)
	rows := a.Rows()
	require.Len(t, rows, 3)
	require.Equal(t, "label", rows[0].Kind)
	require.Equal(t, map[string]int{"quota": 1}, rows[0].Reasons)
	require.InDelta(t, 4, rows[0].OverIdeal.P99, 0.01)
	require.InDelta(t, 2, rows[0].OverFloor.P99, 0.01)
	require.Equal(t, 8, rows[2].Jobs)
	require.InDelta(t, 2, rows[2].OverIdeal.P50, 0.01)
}

// Retention compares fractions of the submitted jobs, so that different numbers of jobs in the runs don't matter.
func TestRetentionIsRelativeToSubmittedJobs(t *testing.T) {
	var calm, flood score.Score
	fill(&calm, "label", 10, 0, 1)
	fill(&flood, "label", 8, 8, 3)
	flood.Add(&score.JobResult{Team: score.FloodTeam, Kind: "least", Outcome: score.Lost})
	retained := score.Compare(&calm, &flood)
	require.Len(t, retained, 1)
	require.InDelta(t, 0.5, retained[0].Throughput, 1e-9)
	require.InDelta(t, 3, retained[0].P99, 0.01)
}
