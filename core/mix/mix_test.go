package mix_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/mix"
)

// TestSameSeedDrawsTheSameJobs checks that two fleets can be compared on the same jobs.
func TestSameSeedDrawsTheSameJobs(t *testing.T) {
	a, b := mix.New(mix.DefaultKinds(), 100, 3), mix.New(mix.DefaultKinds(), 100, 3)
	a.Resubmit, b.Resubmit = 0.1, 0.1
	resubmitted := 0
	for range 1000 {
		j := a.Next()
		require.Equal(t, j, b.Next())
		require.LessOrEqual(t, len(j.Work), mix.MaxTasks)
		if j.Resubmission {
			resubmitted++
		}
	}
	require.Greater(t, resubmitted, 0)
}

func TestArrivalsHaveTheRequestedRate(t *testing.T) {
	m := mix.New(mix.Fixed(1, 0), 200, 1)
	var last mix.Job
	for range 20_000 {
		last = m.Next()
	}
	require.InDelta(t, 100, last.At.Seconds(), 3)
}

func TestFixedHasTheRequestedTasksAndRunTimes(t *testing.T) {
	kinds := mix.Fixed(160, 50*time.Millisecond)
	require.Len(t, mix.New(kinds, 1, 1).Next().Work, 160)
	require.InDelta(t, 8, mix.MeanWork(kinds).Seconds(), 0.2)
}

func TestFloodsAreKnownByName(t *testing.T) {
	for _, name := range []string{"least", "most", "small-jobs", "huge-jobs", "resubmissions"} {
		_, ok := mix.Flood(name)
		require.True(t, ok, name)
	}
	_, ok := mix.Flood("other")
	require.False(t, ok)
}
