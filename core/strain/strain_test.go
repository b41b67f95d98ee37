package strain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const period = 10 * time.Millisecond

// ticks ticks for a time with a lateness each, and returns how often the judgement changed.
func ticks(s *Strain, now *time.Time, dur, late time.Duration) int {
	changes := 0
	for end := now.Add(dur); now.Before(end); {
		*now = now.Add(period + late)
		if s.Tick(*now, period) {
			changes++
		}
	}
	return changes
}

func TestASlowHostIsStrainedUntilItsTicksAreInTime(t *testing.T) {
	var s Strain
	now := time.Unix(1000, 0)
	require.Zero(t, ticks(&s, &now, time.Second, 100*time.Microsecond))
	require.Equal(t, 1, ticks(&s, &now, time.Second, 20*time.Millisecond))
	require.True(t, s.Strained())
	require.Zero(t, ticks(&s, &now, time.Second, 3*time.Millisecond), "between the bounds it stays as it is")
	require.Equal(t, 1, ticks(&s, &now, 2*time.Second, 0))
	require.False(t, s.Strained())
}

func TestSomeLateTicksAreNoStrain(t *testing.T) {
	var s Strain
	now := time.Unix(1000, 0)
	for range 20 {
		require.Zero(t, ticks(&s, &now, 300*time.Millisecond, 0))
		require.Zero(t, ticks(&s, &now, period, 20*time.Millisecond))
	}
}

func TestAHostThatStoodStillIsNotSlow(t *testing.T) {
	var s Strain
	now := time.Unix(1000, 0)
	ticks(&s, &now, time.Second, 0)
	now = now.Add(4 * time.Second)
	require.False(t, s.Tick(now, period))
	require.False(t, s.Strained())
}
