package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStateOfAFullTarget measures what a state of a full target costs an entry whose jobs wait, which it gets thousands of times a
// second in an overload.
func BenchmarkStateOfAFullTarget(b *testing.B) {
	const targets, jobs = 52, 30
	for _, free := range []int{0, 2} {
		b.Run(fmt.Sprint(free, " targets free"), func(b *testing.B) {
			h := newHarness()
			for i := range targets {
				h.join(fmt.Sprint("t", i), 1+float64(i%3)/3)
				h.sched.UpdateTarget(h.now, fmt.Sprint("t", i), usedState(10, 0))
			}
			for i := range jobs {
				h.submit(h.batch(fmt.Sprint(i), 4, 200*time.Millisecond))
			}
			for i := range free {
				st := usedState(10, 0) // room for none of the jobs
				st.UsedMillicores -= 3000
				h.sched.UpdateTarget(h.now, fmt.Sprint("t", i), st)
			}
			b.ResetTimer()
			for i := range b.N {
				h.sched.UpdateTarget(h.now, fmt.Sprint("t", i%targets), usedState(10, 0))
			}
		})
	}
}
