package series_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/series"
)

func fillRandomly(t *rapid.T, s *series.Series, also ...*series.Series) {
	outcomes := []ended.Outcome{ended.Complete, ended.Failed, ended.Refused, ended.Unknown}
	for range rapid.IntRange(0, 40).Draw(t, "jobs") {
		o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		c := rapid.SampledFrom(cause.All()).Draw(t, "cause")
		late := time.Duration(rapid.Int64Range(-1000, 1000).Draw(t, "late")) * time.Millisecond
		response := time.Duration(rapid.Int64Range(0, 5_000_000_000_000).Draw(t, "response"))
		ideal := time.Duration(rapid.Int64Range(0, 1_000_000_000).Draw(t, "ideal"))
		for _, each := range append(also, s) {
			each.AddJobs(o, c, late, 1)
			each.RecordTime(response, ideal)
			each.AddTasks(3)
		}
	}
}

func text(t require.TestingT, s *series.Series) string {
	b, err := json.Marshal(s)
	require.NoError(t, err)
	return string(b)
}

func TestMergeEqualsCountingInOneSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, both := series.New("x", "y"), series.New("x", "y"), series.New("x", "y")
		fillRandomly(t, a, both)
		fillRandomly(t, b, both)
		a.Merge(b)
		require.Equal(t, text(t, both), text(t, a))
	})
}

func TestJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := series.New("senandung", "renewal")
		fillRandomly(t, s)
		var back series.Series
		require.NoError(t, json.Unmarshal([]byte(text(t, s)), &back))
		require.Equal(t, text(t, s), text(t, &back))
		require.Equal(t, s.Response(99), back.Response(99))
		require.Equal(t, s.Suffered(), back.Suffered())
	})
}

func TestJSONRoundTripOfManyBuckets(t *testing.T) {
	s := series.New("senandung", "renewal")
	for i := range 5000 {
		s.RecordTime(time.Duration(50+i)*time.Millisecond, 50*time.Millisecond)
	}
	b, err := json.Marshal(s)
	require.NoError(t, err)
	var back series.Series
	require.NoError(t, json.Unmarshal(b, &back))
	require.Equal(t, text(t, s), text(t, &back))
	for _, p := range []float64{1, 50, 90, 99, 100} {
		require.Equal(t, s.Response(p), back.Response(p))
		require.Equal(t, s.OverIdeal(p), back.OverIdeal(p))
	}
}

func TestOverIdeal(t *testing.T) {
	s := series.New("x", "y")
	for range 100 {
		s.RecordTime(150*time.Millisecond, 100*time.Millisecond)
	}
	require.InEpsilon(t, 1.5, s.OverIdeal(99), 0.01)
	require.InEpsilon(t, 150*time.Millisecond, s.Response(50), 0.01)
}

func TestDropTimesCountsJobsAsUntimed(t *testing.T) {
	s := series.New("x", "y")
	s.AddJobs(ended.Complete, "", 0, 1)
	s.RecordTime(time.Second, time.Second)
	s.DropTimes()
	require.EqualValues(t, 1, s.Untimed())
	require.EqualValues(t, 1, s.Jobs(ended.Complete))
	require.Zero(t, s.Response(50))
}

func TestUnmarshalRejectsBadSeries(t *testing.T) {
	for _, bad := range []string{
		`{"team":"x","failed":-1}`, `{"team":"x","response":"!!"}`, `{"suffered":[{"jobs":-2}]}`, `[]`,
		`{"response":"1,x"}`, `{"response":"-1"}`, `{"response":"1*0"}`, `{"response":"1,"}`,
		`{"response":"9999999999999"}`, `{"over-ideal":"100,9223372036854775807"}`,
	} {
		var s series.Series
		require.Error(t, json.Unmarshal([]byte(bad), &s), bad)
	}
}
