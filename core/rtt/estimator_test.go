package rtt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/rtt"
)

var start = time.Unix(1000, 0)

func TestTimeoutFollowsTheDelayOnlyWhileManyAnswersAreLost(t *testing.T) {
	var e rtt.Estimator
	usual := e.Timeout(start)
	for range 50 {
		e.Answered(time.Millisecond)
	}
	require.Equal(t, usual, e.Timeout(start), "nothing lost")
	e.Lost(start)
	require.True(t, e.AtRisk(start))
	require.Equal(t, usual, e.Timeout(start), "one loss: a repeat after a short time would cause further ones on a slow host")
	for range 8 {
		e.Lost(start)
	}
	require.True(t, e.Lossy(start))
	require.Less(t, e.Timeout(start), usual/2)
	for range 20 {
		e.Lost(start)
		e.Answered(12 * time.Millisecond)
	}
	require.Greater(t, e.Timeout(start), 11*time.Millisecond, "the host has become slow")
	require.Equal(t, usual, e.Timeout(start.Add(time.Minute)), "the losses are long past")
}
