package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/roster"
	"persimmonstage/core/target"
)

var (
	start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	slot  = needs.Vector{Slots: 1}
)

const second = time.Second

func TestNewIncarnationReplacesTheOld(t *testing.T) {
	var r roster.Roster
	old, replaced := r.Announce("runner-1", "a", "kl-1", "r1", needs.Vector{Slots: 2}, start)
	require.False(t, replaced)
	same, replaced := r.Announce("runner-1", "a", "kl-1", "r1", needs.Vector{Slots: 2}, start)
	require.False(t, replaced)
	require.Equal(t, old, same)
	r.Sent(old, slot, second)
	r.Sent(old, slot, second)
	require.Equal(t, second/2, r.Wait(old, slot, 0))

	id, replaced := r.Announce("runner-1", "b", "kl-1", "r1", needs.Vector{Slots: 2}, start)
	require.True(t, replaced)
	require.Zero(t, r.Wait(id, slot, 0))
	r.Ended(old, slot, second)
	require.Equal(t, needs.Vector{Slots: 2}, r.Free(id), "the end of the old incarnation's task changes nothing")
	require.Empty(t, r.Name(old))
}

func TestReportNeverCountsOwnWorkTwice(t *testing.T) {
	var r roster.Roster
	id, _ := r.Announce("runner-1", "a", "kl-1", "r1", needs.Vector{Slots: 4}, start)
	r.Sent(id, slot, second)
	r.Report(id, 5*second, needs.Vector{Slots: 2}, 2, second, start)
	r.Report(id, 4*second, needs.Vector{Slots: 4}, 4, second, start)
	require.Equal(t, needs.Vector{Slots: 1}, r.Free(id), "the older report is ignored")
	require.Equal(t, 1, r.InFlight(id))
}

func TestWaitIgnoresLaterClasses(t *testing.T) {
	var r roster.Roster
	id, _ := r.Announce("runner-1", "a", "kl-1", "r1", needs.Vector{Slots: 2}, start)
	r.Sent(id, slot, second)
	r.SentClass(id, 3, slot, second)
	for range 4 {
		r.SentClass(id, 2, slot, second)
	}
	r.Report(id, 1, slot, 1, second, start)
	r.ReportClass(id, 1, 3, slot, 1, second)
	for class, want := range []time.Duration{second / 2, second / 2, 5 * second / 2, 7 * second / 2} {
		require.Equal(t, want, r.Wait(id, slot, rank.Class(class)), "class %d", class)
	}
	r.EndedClass(id, 3, slot, second)
	require.Equal(t, 3*second, r.Wait(id, slot, 3))
}

func TestSilentTargetIsRemoved(t *testing.T) {
	var r roster.Roster
	r.SetHeartbeatTimeout(2 * second)
	quiet, _ := r.Announce("quiet", "a", "kl-1", "r1", slot, start)
	heard, _ := r.Announce("heard", "a", "kl-1", "r1", slot, start)
	r.Report(heard, 0, needs.Vector{}, 0, 0, start.Add(second))
	var gone []target.ID
	r.Tick(start.Add(2*second), func(id target.ID) { gone = append(gone, id) })
	require.Equal(t, []target.ID{quiet}, gone)
	require.Equal(t, 1, r.Len())
	again, _ := r.Announce("other", "a", "kl-1", "r1", slot, start)
	require.Equal(t, quiet.Index(), again.Index())
	require.NotEqual(t, quiet, again)
}

func TestCheckFitsNamesTheNeedAndTheLargest(t *testing.T) {
	var r roster.Roster
	r.SetHeartbeatTimeout(time.Hour)
	require.NoError(t, r.CheckFits(needs.Vector{Cores: 1000}), "no target is known")
	r.Announce("runner", "a", "kl-1", "r1", needs.Vector{Slots: 8}, start)
	id, _ := r.Announce("worker", "a", "kl-1", "r1", needs.Vector{Slots: 4, Cores: 64, MemoryMB: 131072}, start)
	require.NoError(t, r.CheckFits(needs.Vector{Slots: 8}))
	require.NoError(t, r.CheckFits(needs.Vector{Slots: 1, Cores: 64, MemoryMB: 131072}))

	var tooLarge *roster.TooLargeError
	require.True(t, errors.As(r.CheckFits(needs.Vector{Slots: 1, Cores: 32, MemoryMB: 200000}), &tooLarge))
	require.EqualError(t, tooLarge, "needs.memory-mb: 200000, the largest that a known target has is 131072")
	require.True(t, errors.As(r.CheckFits(needs.Vector{Slots: 8, Cores: 1}), &tooLarge), "no one target has both")
	r.Eject(id, true)
	require.NoError(t, r.CheckFits(needs.Vector{Cores: 64}), "an ejected target may come back")
	r.Leave(id)
	require.NoError(t, r.CheckFits(needs.Vector{Cores: 64}), "a similar target may be about to replace it")
	r.Tick(start.Add(time.Minute), nil)
	require.Error(t, r.CheckFits(needs.Vector{Cores: 64}))
}

// TestListsAgreeWithTheRows applies random events and checks that every usable target is in exactly one list, the right one.
func TestListsAgreeWithTheRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r roster.Roster
		var ids []target.ID
		pick := func() target.ID { return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")] }
		announce := func(t *rapid.T) {
			n := rapid.IntRange(0, 7).Draw(t, "n")
			capacity := needs.Vector{Slots: rapid.IntRange(1, 9).Draw(t, "slots")}
			id, _ := r.Announce(fmt.Sprint("t", n), fmt.Sprint(n%3), "kl-1", "r1", capacity, start)
			ids = append(ids, id)
		}
		announce(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": announce,
			"sent":     func(*rapid.T) { r.Sent(pick(), slot, second) },
			"ended":    func(*rapid.T) { r.Ended(pick(), slot, second) },
			"leave":    func(*rapid.T) { r.Leave(pick()) },
			"eject":    func(t *rapid.T) { r.Eject(pick(), rapid.Bool().Draw(t, "out")) },
			"remove":   func(*rapid.T) { r.Remove(pick()) },
			"rate":     func(t *rapid.T) { r.SetSpeedFactor(pick(), rapid.Float64Range(0.1, 10).Draw(t, "factor")) },
			"":         func(t *rapid.T) { checkLists(t, &r, ids) },
		})
	})
}

func checkLists(t *rapid.T, r *roster.Roster, ids []target.ID) {
	listed := map[target.ID]bool{}
	hosts := int64(0)
	check := func(id target.ID, room bool) {
		hosts += int64(r.Free(id).Slots+r.InFlight(id)) * 125
		require.False(t, listed[id])
		require.True(t, r.Usable(id))
		require.Equal(t, room, r.Free(id).Slots > 0)
		listed[id] = true
	}
	for g := range r.Groups() {
		for i := range r.GroupRoom(g) {
			check(r.RoomAt(g, i), true)
		}
		for i := range r.GroupFull(g) {
			check(r.FullAt(g, i), false)
		}
	}
	require.Equal(t, hosts, r.Hosts())
	for _, id := range ids {
		require.Equal(t, r.Usable(id), listed[id])
	}
	total := 0
	for id := range listed {
		total += r.Free(id).Slots + r.InFlight(id)
	}
	require.Equal(t, max(1, total), r.Parallel(slot))
}
