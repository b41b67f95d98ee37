package roster_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/roster"
	"persimmonstage/core/target"
)

func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{10, 26000} {
		var r roster.Roster
		r.SetHeartbeatTimeout(time.Hour)
		var ids []target.ID
		for i := range n {
			id, _ := r.Announce(fmt.Sprint(i), "a", "kl-1", "r1", needs.Vector{Slots: 4 << (i % 4)}, start)
			ids = append(ids, id)
		}
		measure := func(name string, do func(id target.ID, i int)) {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					do(ids[i%n], i)
					i++
				}
			})
		}
		measure("sent-ended", func(id target.ID, _ int) {
			r.Sent(id, slot, second)
			r.Ended(id, slot, second)
		})
		measure("heard", func(id target.ID, i int) {
			r.Report(id, time.Duration(i), needs.Vector{Slots: i % 20}, i%20, second, start)
		})
		measure("fits-never", func(target.ID, int) { _ = r.CheckFits(needs.Vector{Slots: 100}) })
		measure("tick", func(target.ID, int) { r.Tick(start, nil) })
	}
}
