package tally_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

var start = time.Date(2026, 3, 2, 8, 59, 30, 0, time.UTC)

// drain removes and returns all closed records, as if the log had accepted each.
func drain(t *tally.Tally) []*rollup.Rollup {
	var all []*rollup.Rollup
	for {
		r, ok := t.Next()
		if !ok {
			return all
		}
		t.MarkWritten(r.ID())
		all = append(all, r)
	}
}

func complete(t *tally.Tally, now time.Time, kind string) {
	t.JobEnded(now, "senandung", kind, ended.Complete, "", 120*time.Millisecond, 100*time.Millisecond, 0, 4)
}

func TestRecordsAreClosedAtMinuteBoundaries(t *testing.T) {
	var a tally.Tally
	complete(&a, start, "swap")
	complete(&a, start.Add(20*time.Second), "swap")
	complete(&a, start.Add(31*time.Second), "renewal")
	a.Advance(start.Add(95 * time.Second))
	got := drain(&a)
	require.Len(t, got, 2)
	require.Equal(t, start, got[0].From)
	require.Equal(t, start.Add(30*time.Second), got[0].To)
	require.EqualValues(t, 2, got[0].Count(ended.Complete))
	require.EqualValues(t, 1, got[1].Count(ended.Complete))
	require.EqualValues(t, 4, got[1].Series[0].Tasks())
	require.Equal(t, got[0].To, got[1].From)
}

func TestIdleTimeLeavesNoGapAndNoRecordSpansTwoQuarterHours(t *testing.T) {
	a := tally.New("e1", "i1")
	a.Advance(start)
	a.Advance(start.Add(3 * time.Hour))
	got := drain(a)
	for i, r := range got {
		quarter := r.From.Truncate(15 * time.Minute)
		require.False(t, r.To.After(quarter.Add(15*time.Minute)))
		if i > 0 {
			require.Equal(t, got[i-1].To, r.From)
		}
	}
	require.Equal(t, start.Add(3*time.Hour).Truncate(time.Minute), got[len(got)-1].To)
}

func TestRecordsAfterClockSetBackHaveNewIDs(t *testing.T) {
	a := tally.New("e1", "i1")
	complete(a, start, "swap")
	complete(a, start.Add(-time.Hour), "swap")
	a.Advance(start.Add(2 * time.Minute))
	ids := map[string]bool{}
	var jobs int64
	for _, r := range drain(a) {
		require.False(t, ids[r.ID()])
		ids[r.ID()] = true
		jobs += r.Jobs()
	}
	require.EqualValues(t, 2, jobs)
}

func TestOpenSpansAreInEachRecordUntilTheyEnd(t *testing.T) {
	a := tally.New("e1", "i1")
	down := event.Event{Cause: cause.LogDown}
	a.Begin(start, down)
	a.Begin(start.Add(time.Second), down)
	a.Advance(start.Add(time.Minute))
	a.End(start.Add(70*time.Second), down)
	a.End(start.Add(71*time.Second), down)
	a.Advance(start.Add(3 * time.Minute))
	got := drain(a)
	require.Equal(t, []event.Event{{At: start, Until: start.Add(30 * time.Second), Open: true, Cause: cause.LogDown}}, got[0].Events)
	require.Equal(t, []event.Event{{At: start, Until: start.Add(70 * time.Second), Cause: cause.LogDown}}, got[1].Events)
	require.Empty(t, got[2].Events)
}

func TestTriedRecordIsNeverChanged(t *testing.T) {
	a := tally.New("e1", "i1")
	from := start.Truncate(time.Hour).Add(time.Hour)
	complete(a, from, "swap")
	a.Advance(from.Add(time.Minute))
	r, ok := a.Next()
	require.True(t, ok)
	before, err := json.Marshal(r)
	require.NoError(t, err)
	a.SetBound(1)
	for i := range 100 {
		complete(a, from.Add(time.Duration(i)*time.Minute), "swap")
	}
	again, _ := a.Next()
	after, err := json.Marshal(again)
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))
}

// The jobs in the records that a reader counts plus the lost jobs stated in them equal the jobs added, under any sequence of
// log outages, lost answers and clock steps.
func TestEachJobIsCountedOnceOrInLostJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := tally.New("e1", "i1")
		a.SetBound(rapid.IntRange(2_000, 200_000).Draw(t, "bound"))
		now := start
		seen := map[string]*rollup.Rollup{}
		// A reader keeps the first record with an id, as it was when it was appended.
		read := func(r *rollup.Rollup) {
			if _, again := seen[r.ID()]; !again {
				seen[r.ID()] = r.Clone()
			}
		}
		var in int64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-90, 400).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if r, ok := a.Next(); ok {
					read(r)
					a.MarkWritten(r.ID())
				}
			case 1:
				// The append succeeded, but its answer was lost.
				if r, ok := a.Next(); ok {
					read(r)
				}
			default:
				in++
				complete(a, now, fmt.Sprint("kind-", rapid.IntRange(0, 5).Draw(t, "kind")))
			}
		}
		a.Close(now)
		for _, r := range drain(a) {
			read(r)
		}
		var out int64
		for _, r := range seen {
			out += r.Jobs() + r.LostJobs
		}
		require.Equal(t, in, out)
	})
}

func TestMemoryStaysBoundedDuringLogOutage(t *testing.T) {
	a := tally.New("e1", "i1")
	const bound = 1 << 20
	a.SetBound(bound)
	var in int64
	for m := range 36 * 60 {
		for team := range 20 {
			now := start.Add(time.Duration(m) * time.Minute)
			a.JobEnded(now, fmt.Sprint("team-", team), "label", ended.Complete, "", time.Duration(100+m%50)*time.Millisecond, 90*time.Millisecond, 0, 1)
			in++
		}
		_, held := a.Backlog()
		require.LessOrEqual(t, held, bound)
	}
	a.Close(start.Add(36 * time.Hour))
	var out, lost int64
	for _, r := range drain(a) {
		out += r.Jobs()
		lost += r.LostJobs
	}
	require.Equal(t, in, out+lost)
	require.Positive(t, out)
}

func TestTeamsBeyondTheBoundShareASeries(t *testing.T) {
	a := tally.New("e1", "i1")
	for i := range 3000 {
		a.Refused(start, fmt.Sprint("team-", i), "label", cause.OverQuota)
	}
	a.Close(start)
	got := drain(a)
	require.EqualValues(t, 3000, got[0].Count(ended.Refused))
	require.LessOrEqual(t, len(got[0].Series), 1025)
}

func TestUnauthenticatedNamesGetNoSeries(t *testing.T) {
	a := tally.New("e1", "i1")
	for i := range 3000 {
		a.Refused(start, fmt.Sprint("team-", i), "label", cause.Unauthorised)
	}
	a.Refused(start, "castle-kits", "label", cause.OverQuota)
	a.Close(start)
	got := drain(a)
	require.Len(t, got[0].Series, 2)
	require.Equal(t, tally.Unknown, got[0].Series[0].Team())
	require.Equal(t, "castle-kits", got[0].Series[1].Team())
}

func TestSplitIsDeterministicAndComplete(t *testing.T) {
	a := tally.New("e1", "i1")
	for i := range 10 {
		a.Refused(start, fmt.Sprint("team-", i), "label", cause.OverQuota)
	}
	a.Event(start, event.Event{Cause: cause.TargetLost, Subject: "runner-1"})
	a.Close(start)
	r, _ := a.Next()
	first, second := r.Split(4), r.Split(4)
	require.Equal(t, first, second)
	require.Len(t, first, 3)
	var jobs int64
	ids := map[string]bool{}
	for i, part := range first {
		jobs += part.Jobs()
		ids[part.ID()] = true
		require.Equal(t, i == 0, len(part.Events) == 1)
	}
	require.EqualValues(t, 10, jobs)
	require.Len(t, ids, 3)
}

func TestTallyDetectsFlood(t *testing.T) {
	a := tally.New("e1", "i1")
	now := start
	second := func(flood int) {
		for range 10 {
			a.JobSubmitted(now, "castle-kits", "label", 5, 1)
			complete(a, now, "label")
		}
		for range flood {
			a.JobSubmitted(now, "castle-kits", "checkout", 9, 1)
			a.Refused(now, "castle-kits", "checkout", cause.Overload)
		}
		now = now.Add(time.Second)
		a.Advance(now)
	}
	for range 300 {
		second(0)
	}
	for range 120 {
		second(200)
	}
	for range 120 {
		second(0)
	}
	a.Close(now)
	events := map[time.Time]event.Event{}
	for _, r := range drain(a) {
		for _, e := range r.Events {
			events[e.At] = e
		}
	}
	require.Len(t, events, 1)
	for at, e := range events {
		require.Equal(t, cause.FloodMostUrgent, e.Cause)
		require.Equal(t, "checkout from castle-kits", e.Affected())
		require.LessOrEqual(t, at.Sub(start), 320*time.Second)
		require.False(t, e.Open)
		require.LessOrEqual(t, e.Until.Sub(start), 480*time.Second)
	}
}
