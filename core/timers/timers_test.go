package timers_test

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/timers"
)

func TestPopDueReturnsEveryValueInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "delays")
		start := time.Unix(0, 0)
		var h timers.Timers[int]
		for _, d := range delays {
			h.Add(start.Add(time.Duration(d)), d)
		}
		var got []int
		for at := 0; at <= 50; at++ {
			for {
				d, ok := h.PopDue(start.Add(time.Duration(at)))
				if !ok {
					break
				}
				require.LessOrEqual(t, d, at)
				got = append(got, d)
			}
		}
		sort.Ints(delays)
		require.Equal(t, len(delays), len(got))
		for i := range got {
			require.Equal(t, delays[i], got[i])
		}
	})
}
