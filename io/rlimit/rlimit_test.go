package rlimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/rlimit"
)

func TestSettingsGoBeforeTheOperatingSystem(t *testing.T) {
	l := rlimit.Limits{MemoryMB: 64, MaxFDs: 320}
	require.EqualValues(t, 64<<20, l.Memory())
	require.Equal(t, 320, l.Descriptors())
}

func TestTheOperatingSystemTellsWhatIsNotSet(t *testing.T) {
	var l rlimit.Limits
	require.Positive(t, l.Memory())
	require.Positive(t, l.Descriptors())
}

func TestLimitsOutOfRangeAreNamed(t *testing.T) {
	for _, c := range []struct {
		limits      rlimit.Limits
		key, reason string
	}{
		{rlimit.Limits{MemoryMB: 64, MaxFDs: 320}, "", ""},
		{rlimit.Limits{MemoryMB: -1}, "limits.memory-mb", "negative, at least 0"},
		{rlimit.Limits{MaxFDs: 1<<24 + 1}, "limits.max-fds", "too large, at most 16777216"},
	} {
		key, reason := c.limits.Check()
		require.Equal(t, c.key, key)
		require.Equal(t, c.reason, reason)
	}
}
