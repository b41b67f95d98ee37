package needs_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/needs"
)

func drawVector(t *rapid.T, name string) needs.Vector {
	n := rapid.IntRange(0, 9)
	return needs.Vector{
		Slots: n.Draw(t, name), Cores: n.Draw(t, name), MemoryMB: n.Draw(t, name), Accelerators: n.Draw(t, name),
	}
}

func TestFitsAgreesWithSubAndFirstExceeding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, free := drawVector(t, "v"), drawVector(t, "free")
		left := free.Sub(v)
		require.Equal(t, free, left.Add(v))
		require.Equal(t, v.Fits(free), left.FirstNegative() == "")
		require.Equal(t, v.FirstExceeding(free), left.FirstNegative())
		require.True(t, v.Fits(v.Max(free)) && free.Fits(v.Max(free)))
		if name := v.FirstExceeding(free); name != "" {
			require.Greater(t, v.Amount(name), free.Amount(name))
		}
	})
}

func TestFirstExceedingNamesTheFirstDimension(t *testing.T) {
	v := needs.Vector{Slots: 1, Cores: 8, MemoryMB: 4096, Accelerators: 1}
	require.Equal(t, "memory-mb", v.FirstExceeding(needs.Vector{Slots: 1, Cores: 8, MemoryMB: 2048}))
	require.Equal(t, "slots 1, cores 8, memory-mb 4096, accelerators 1", v.String())
	require.Zero(t, v.Amount("disks"))
}
