package flight

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestDuringACallWaitsForTheNext guards against an answer that is older than its request.
func TestRequestDuringACallWaitsForTheNext(t *testing.T) {
	var f Flight[int]
	now := time.Unix(1000, 0)
	require.Empty(t, f.Start(now))
	f.Add(1)
	f.Add(2)
	require.Equal(t, []int{1, 2}, f.Start(now))
	f.Add(3)
	require.Empty(t, f.Start(now), "a call is under way")
	f.Done(now)
	require.Empty(t, f.Start(now.Add(minPause-time.Millisecond)))
	require.Equal(t, []int{3}, f.Start(now.Add(minPause)))
}
