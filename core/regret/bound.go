package regret

import (
	"cmp"
	"math"
	"slices"
)

// demand is work that may be done in parts at any time between two slices.
type demand struct {
	job         int
	from, until int     // the first and the last slice
	work        float64 // core-seconds
	value       float64 // of the whole work
}

// fill returns which fraction of each demand is done if demands are done so that their total value is the highest possible.
// capacity is the work that each slice can do.
//
// The sets of work that fit the slices form a polymatroid, so taking the demands by value per work, each as far as it still fits,
// is optimal. Work fits if for each range of slices the demands that lie within the range don't exceed the range's capacity.
//
// It is an upper bound of any schedule, since a schedule may not split tasks, nor run them on any number of cores.
func fill(capacity []float64, demands []demand) []float64 {
	n := len(capacity)
	total := make([]float64, n+1)
	for i, c := range capacity {
		total[i+1] = total[i] + c
	}
	within := make([][]float64, n) // within[a][b]: work taken of the demands that lie within slices a to b
	for a := range within {
		within[a] = make([]float64, n)
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(demands[b].value*demands[a].work, demands[a].value*demands[b].work)
	})
	done := make([]float64, len(demands))
	for _, i := range order {
		d := &demands[i]
		work := fit(total, within, d)
		for a := range d.from + 1 {
			for b := d.until; b < n; b++ {
				within[a][b] += work
			}
		}
		done[i] = work / d.work
	}
	return done
}

// fit returns how much work of a demand fits beside the work taken before.
func fit(total []float64, within [][]float64, d *demand) float64 {
	work := d.work
	for a := range d.from + 1 {
		for b := d.until; b < len(within); b++ {
			work = math.Min(work, total[b+1]-total[a]-within[a][b])
		}
	}
	return math.Max(0, work)
}
