package regret

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// best returns the highest total value of a schedule that does each demand as a whole or not at all, in unit parts of its work, by
// trying all of them.
func best(capacity []int, demands []demand) float64 {
	if len(demands) == 0 {
		return 0
	}
	d := demands[0]
	most := best(capacity, demands[1:])
	var spread func(slice, left int)
	spread = func(slice, left int) {
		if left == 0 {
			most = max(most, d.value+best(capacity, demands[1:]))
			return
		}
		if slice > d.until {
			return
		}
		for n := min(left, capacity[slice]); n >= 0; n-- {
			capacity[slice] -= n
			spread(slice+1, left-n)
			capacity[slice] += n
		}
	}
	spread(d.from, int(d.work))
	return most
}

func total(demands []demand, done []float64) float64 {
	sum := 0.0
	for i, f := range done {
		sum += f * demands[i].value
	}
	return sum
}

func TestNoScheduleEarnsMoreThanTheBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	tight := 0
	for range 400 {
		capacity := make([]int, 3+rng.IntN(2))
		exact := make([]float64, len(capacity))
		for i := range capacity {
			capacity[i] = rng.IntN(3)
			exact[i] = float64(capacity[i])
		}
		demands := make([]demand, 1+rng.IntN(5))
		for i := range demands {
			from := rng.IntN(len(capacity))
			demands[i] = demand{from: from, until: from + rng.IntN(len(capacity)-from), work: float64(1 + rng.IntN(3)), value: rng.Float64()}
		}
		bound, found := total(demands, fill(exact, demands)), best(capacity, demands)
		require.GreaterOrEqual(t, bound, found-1e-9, "%v %v", capacity, demands)
		if bound < found+1e-9 {
			tight++
		}
	}
	require.Greater(t, tight, 100, "a bound far above all schedules would say nothing")
}

func TestUnitDemandsReachTheBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		capacity := []int{rng.IntN(3), rng.IntN(3), rng.IntN(3)}
		exact := []float64{float64(capacity[0]), float64(capacity[1]), float64(capacity[2])}
		demands := make([]demand, 1+rng.IntN(6))
		for i := range demands {
			from := rng.IntN(3)
			demands[i] = demand{from: from, until: from + rng.IntN(3-from), work: 1, value: rng.Float64()}
		}
		require.InDelta(t, best(capacity, demands), total(demands, fill(exact, demands)), 1e-9, "%v %v", capacity, demands)
	}
}
