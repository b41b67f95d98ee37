package runs

import (
	"testing"

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
	for _, c := range cases {
		f := failing{}
		for _, end := range c.ends {
			f.count(hows[end])
		}
		require.GreaterOrEqual(t, f.eighths(), c.min, c.name)
		require.LessOrEqual(t, f.eighths(), c.max, c.name)
	}
}
