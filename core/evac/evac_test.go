package evac_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/evac"
)

// TestTheOrderOfMarksDoesNotMatter guards against a process that takes an evacuation back, or brings it back, by what an outdated peer or
// list says.
func TestTheOrderOfMarksDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(54, 1))
	var log []evac.Mark
	for offset := range int64(60) {
		log = append(log, evac.Mark{DataCentre: string(rune('a' + rng.IntN(3))), Offset: offset, Evacuated: rng.IntN(2) == 0})
	}
	var want evac.Table
	for _, m := range log {
		_, err := want.Set(m)
		require.NoError(t, err)
	}
	for range 50 {
		tables := make([]evac.Table, 4)
		for _, m := range log { // each record reaches one process
			_, _ = tables[rng.IntN(len(tables))].Set(m)
		}
		positions := [4][4]uint64{}
		for range 400 {
			from, to := rng.IntN(4), rng.IntN(4)
			marks, next := tables[from].After(positions[from][to])
			positions[from][to] = next
			for _, i := range rng.Perm(len(marks)) {
				_, _ = tables[to].Set(marks[i])
			}
		}
		for i := range tables {
			require.Equal(t, want.Evacuated(), tables[i].Evacuated())
		}
	}
}

// TestAListTakesBackWhatItLacks guards against an evacuation that stands for good because the store has dropped the record that took it
// back, and against a list that ends before an evacuation and takes it back.
func TestAListTakesBackWhatItLacks(t *testing.T) {
	var table evac.Table
	for _, m := range []evac.Mark{{"a", 3, true}, {"b", 8, true}, {"c", 5, true}, {"d", 9, true}} {
		changed, err := table.Set(m)
		require.True(t, changed)
		require.NoError(t, err)
	}
	missing := table.Missing([]string{"c"}, 9)
	require.Equal(t, []evac.Mark{{DataCentre: "a", Offset: 8}}, missing, "b is the last record before the end, d is after it")
	changed, err := table.Set(missing[0])
	require.True(t, changed)
	require.NoError(t, err)
	require.False(t, table.Holds("a"))
	changed, _ = table.Set(evac.Mark{"a", 3, true})
	require.False(t, changed, "a peer that hasn't heard of it")
	changed, _ = table.Set(evac.Mark{"a", 9, true})
	require.True(t, changed, "evacuated once more")
	require.Equal(t, []string{"a", "b", "c", "d"}, table.Evacuated())
}

func TestMarksOutOfBoundsAreRefused(t *testing.T) {
	var none *evac.Table
	require.False(t, none.Holds("a"))
	var table evac.Table
	for _, name := range []string{"", strings.Repeat("n", 256)} {
		_, err := table.Set(evac.Mark{name, 1, true})
		var limit *evac.LimitError
		require.ErrorAs(t, err, &limit)
	}
	for i := range 1024 {
		_, err := table.Set(evac.Mark{string(rune(0x4e00 + i)), int64(i), true})
		require.NoError(t, err)
	}
	_, err := table.Set(evac.Mark{"a", 2000, true})
	require.ErrorContains(t, err, "data centres: 1025, limit 1024")
}
