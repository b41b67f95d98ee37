package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAFailingTargetIsReportedAsSuch guards against an agent that hides failures behind a few runs that succeed, or remembers one for long.
func TestAFailingTargetIsReportedAsSuch(t *testing.T) {
	cases := []struct {
		name, ends string // d is done, f failed, s stopped
		min, max   int
	}{
		{"no run", "", 0, 0},
		{"one failure", "dddf", 2, 2},
		{"one failure, ten successes after it", "fdddddddddd", 0, 0},
		{"half of the runs fail", "fdfdfdfdfdfd", 3, 5},
		{"all runs fail", "ffffffffff", 7, 8},
		{"stops say nothing", "fsssssssss", 2, 2},
	}
	hows := map[rune]string{'d': done, 'f': failed, 's': stopped}
	now := time.Unix(1000, 0)
	for _, c := range cases {
		f := failing{}
		for _, end := range c.ends {
			f.count(now, hows[end])
		}
		require.GreaterOrEqual(t, f.eighths(), c.min, c.name)
		require.LessOrEqual(t, f.eighths(), c.max, c.name)
	}
}

// TestATargetThatGetsNoWorkIsTriedAgain guards against a target that failed a few runs and is left out for good, as nothing runs there that
// could show that it works again.
func TestATargetThatGetsNoWorkIsTriedAgain(t *testing.T) {
	f, now := failing{}, time.Unix(1000, 0)
	for range 10 {
		f.count(now, failed)
	}
	require.False(t, f.decay(now.Add(decayPeriod/2)))
	for range 15 {
		now = now.Add(decayPeriod)
		f.decay(now)
	}
	require.Zero(t, f.eighths())
}
