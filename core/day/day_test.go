package day_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

// The seed is fixed, so that every run has the same result; -rapid.seed still overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func digestOf(rs []*rollup.Rollup, now time.Time) *digest.Digest {
	d := day.New(noon, auckland)
	for _, r := range rs {
		d.Add(r)
	}
	return d.Digest(now)
}

func complete(t *tally.Tally, now time.Time) {
	t.JobEnded(now, "castle-kits", "label", ended.Complete, "", 110*time.Millisecond, 100*time.Millisecond, 0, 1)
}

// Entries read the log at different times and a record may be in it twice; the digests must be equal nevertheless.
func TestOrderAndRepetitionOfRecordsDoNotMatter(t *testing.T) {
	causes := cause.All()
	rapid.Check(t, func(t *rapid.T) {
		var rs []*rollup.Rollup
		for entry := range 3 {
			a := tally.New(fmt.Sprint("entry-", entry), fmt.Sprint("i", entry))
			now := noon
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "seconds")) * time.Second)
				c := rapid.SampledFrom(causes).Draw(t, "cause")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					a.Refused(now, "castle-kits", "label", c)
				case 1:
					a.Begin(now, event.Event{Cause: c, Subject: "x"})
				case 2:
					a.End(now, event.Event{Cause: c, Subject: "x"})
				default:
					complete(a, now)
				}
			}
			a.Close(now)
			rs = append(rs, records(a)...)
		}
		end := noon.Add(3 * time.Hour)
		want, err := json.Marshal(digestOf(rs, end))
		require.NoError(t, err)
		shuffled := rapid.Permutation(append(rs, rs...)).Draw(t, "order")
		got, err := json.Marshal(digestOf(shuffled, end))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}

func TestOrdinaryDay(t *testing.T) {
	a := tally.New("entry-1", "i1")
	a.Advance(noon)
	for i := range 100 {
		complete(a, noon.Add(time.Duration(i)*time.Minute))
	}
	a.JobEnded(noon.Add(100*time.Minute), "castle-kits", "label", ended.Failed, cause.Cancelled, 0, 0, 0, 0)
	a.Close(noon.Add(101 * time.Minute))
	g := digestOf(records(a), noon.Add(2*time.Hour))
	require.Equal(t, digest.Well, g.Verdict)
	require.Equal(t, "Yes. Today went well: 100 jobs answered whole and in time; 1 job withdrawn or sent wrongly by callers.", g.Headline)
	require.Equal(t, "2026-03-02", g.Day)
	require.Len(t, g.Slots, 96)
	require.Empty(t, g.Gaps)
	require.Zero(t, g.CountedTo, "the entry has stopped")
	require.InEpsilon(t, 1.1, g.Kinds[0].Ideal99, 0.02)
	require.EqualValues(t, 1, g.CallerCaused[0].Jobs)
}

func TestRecordsOfOtherDaysAreLeftOut(t *testing.T) {
	d := day.New(noon, auckland)
	midnight := time.Date(2026, 3, 2, 0, 0, 0, 0, auckland)
	for at, own := range map[time.Time]bool{
		midnight: true, midnight.Add(-time.Minute): false,
		midnight.Add(24*time.Hour - time.Minute): true, midnight.Add(24 * time.Hour): false,
	} {
		r := &rollup.Rollup{Incarnation: "i", Seq: uint64(at.Unix()), From: at.UTC(), To: at.Add(time.Minute).UTC()}
		require.Equal(t, own, d.Add(r), at)
	}
}

func TestDaysOf23And25Hours(t *testing.T) {
	spring := day.New(time.Date(2026, 9, 27, 12, 0, 0, 0, auckland), auckland)
	require.Equal(t, 23*time.Hour, spring.To().Sub(spring.From()))
	require.Len(t, spring.Digest(noon).Slots, 92)
	autumn := day.New(time.Date(2026, 4, 5, 12, 0, 0, 0, auckland), auckland)
	require.Len(t, autumn.Digest(noon).Slots, 100)
}

func TestLateAnswersAreMeasured(t *testing.T) {
	a := tally.New("entry-1", "i1")
	for _, by := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond} {
		a.JobEnded(noon, "castle-kits", "label", ended.Complete, "", time.Second, time.Second, by, 1)
	}
	a.Close(noon)
	g := digestOf(records(a), noon)
	require.Equal(t, "No. 2 of 2 jobs suffered: 2 late, the worst by 1.5 s.", g.Headline)
}

func TestJobsOverdueMakeTheDayBad(t *testing.T) {
	a := tally.New("entry-1", "i1")
	a.Overdue(noon, 3)
	a.Advance(noon.Add(time.Minute))
	rs := records(a)
	g := digestOf(rs, noon.Add(time.Minute))
	require.Equal(t, "No. 3 jobs stood open past the deadline.", g.Headline)
	require.EqualValues(t, 3, g.Overdue)
	a.Advance(noon.Add(2 * time.Minute))
	g = digestOf(append(rs, records(a)...), noon.Add(2*time.Minute))
	require.EqualValues(t, 0, g.Overdue)
	require.EqualValues(t, 3, g.OverdueWorst)
}

func TestMissingMinutesAreGapsAndALongGapIsUnsure(t *testing.T) {
	a := tally.New("entry-1", "i1")
	for i := range 30 {
		complete(a, noon.Add(time.Duration(i)*time.Minute))
	}
	a.Close(noon.Add(30 * time.Minute))
	rs := records(a)
	g := digestOf(append(rs[:10:10], rs[12:]...), noon.Add(time.Hour))
	require.Len(t, g.Gaps, 1)
	require.Equal(t, 2*time.Minute, g.Gaps[0].To.Sub(g.Gaps[0].From))
	require.Equal(t, digest.Well, g.Verdict)
	g = digestOf(append(rs[:10:10], rs[20:]...), noon.Add(time.Hour))
	require.Equal(t, digest.Unsure, g.Verdict)
}

func TestEntryThatStopsWriting(t *testing.T) {
	a := tally.New("entry-1", "i1")
	complete(a, noon)
	a.Advance(noon.Add(time.Minute))
	rs := records(a)
	require.Empty(t, digestOf(rs, noon.Add(3*time.Minute)).Gaps)
	g := digestOf(rs, noon.Add(time.Hour))
	require.Equal(t, digest.Unsure, g.Verdict)
	require.Contains(t, g.Gaps[0].Sentence, "entry-1 has written nothing since")

	b := tally.New("entry-2", "i2")
	b.Event(noon.Add(2*time.Minute), event.Event{Cause: cause.EntryLost, Subject: "entry-1"})
	b.Close(noon.Add(time.Hour))
	g = digestOf(append(rs, records(b)...), noon.Add(time.Hour))
	require.Equal(t, digest.Well, g.Verdict)
	require.Equal(t, time.Minute, g.Gaps[0].To.Sub(g.Gaps[0].From))
}

// The successor detects the death only when the log is available again; all that the dead entry had buffered until then is lost.
func TestEntryThatDiedDuringLogOutageLeavesGap(t *testing.T) {
	a := tally.New("entry-1", "i1")
	complete(a, noon)
	a.Advance(noon.Add(time.Minute))
	b := tally.New("entry-2", "i2")
	b.Event(noon.Add(2*time.Hour), event.Event{Cause: cause.EntryLost, Subject: "entry-1"})
	b.Close(noon.Add(3 * time.Hour))
	g := digestOf(append(records(a), records(b)...), noon.Add(3*time.Hour))
	require.Equal(t, 2*time.Hour-time.Minute, g.Gaps[0].To.Sub(g.Gaps[0].From))
	require.Equal(t, digest.Unsure, g.Verdict)
}

func TestGapOfReplacedEntryEndsAtNextIncarnation(t *testing.T) {
	a := tally.New("entry-1", "i1")
	complete(a, noon)
	a.Advance(noon.Add(time.Minute))
	b := tally.New("entry-1", "i2")
	b.Advance(noon.Add(3 * time.Minute))
	b.Close(noon.Add(time.Hour))
	g := digestOf(append(records(a), records(b)...), noon.Add(time.Hour))
	require.Len(t, g.Gaps, 1)
	require.Equal(t, 2*time.Minute, g.Gaps[0].To.Sub(g.Gaps[0].From))
	require.Contains(t, g.Gaps[0].Sentence, "replaced")
	require.Equal(t, digest.Well, g.Verdict)
}

func TestCountedToIsTheEarliestOfActiveEntries(t *testing.T) {
	var rs []*rollup.Rollup
	for i, minutes := range []int{1, 29, 30} {
		a := tally.New(fmt.Sprint("entry-", i), fmt.Sprint("i", i))
		complete(a, noon)
		a.Advance(noon.Add(time.Duration(minutes) * time.Minute))
		rs = append(rs, records(a)...)
	}
	g := digestOf(rs, noon.Add(30*time.Minute))
	require.True(t, noon.Add(29*time.Minute).Equal(g.CountedTo))
}

func TestStatedLossCountsOnItsOwnDay(t *testing.T) {
	midnight := time.Date(2026, 3, 3, 0, 0, 0, 0, auckland).UTC()
	r := &rollup.Rollup{Entry: "entry-1", Incarnation: "i1", Seq: 9, From: midnight, To: midnight.Add(time.Minute)}
	r.AddLoss(midnight.Add(-time.Hour), midnight, 17)
	g := digestOf([]*rollup.Rollup{r, r}, midnight.Add(time.Hour))
	require.Equal(t, digest.Unsure, g.Verdict)
	require.Len(t, g.Gaps, 1)
	require.EqualValues(t, 17, g.Gaps[0].Jobs)
}

func TestEventObservedByThreeEntriesIsOneMoment(t *testing.T) {
	var rs []*rollup.Rollup
	for i := range 3 {
		a := tally.New(fmt.Sprint("entry-", i), fmt.Sprint("i", i))
		at := noon.Add(time.Duration(i) * 10 * time.Second)
		a.Begin(at, event.Event{Cause: cause.LogDown})
		a.Event(at, event.Event{Cause: cause.TargetLost, Subject: "runner-1"})
		a.Advance(noon.Add(20 * time.Minute))
		a.End(noon.Add(30*time.Minute), event.Event{Cause: cause.LogDown})
		a.Close(noon.Add(31 * time.Minute))
		rs = append(rs, records(a)...)
	}
	g := digestOf(rs, noon.Add(time.Hour))
	require.Len(t, g.Moments, 2)
	require.Equal(t, cause.LogDown, g.Moments[0].Cause)
	require.False(t, g.Moments[0].Open)
	require.Equal(t, 30*time.Minute, g.Moments[0].Until.Sub(g.Moments[0].At))
}

// Two parts of an entry may disagree on whether the log is down; the later report extends the span.
func TestSpanThatWasClosedTooEarlyIsExtended(t *testing.T) {
	a := tally.New("entry-1", "i1")
	down := event.Event{Cause: cause.LogDown, At: noon}
	a.Begin(noon, down)
	a.End(noon.Add(10*time.Second), down)
	a.Begin(noon.Add(2*time.Minute), down)
	a.End(noon.Add(10*time.Minute), down)
	a.Close(noon.Add(20 * time.Minute))
	g := digestOf(records(a), noon.Add(time.Hour))
	require.Len(t, g.Moments, 1)
	require.Equal(t, 10*time.Minute, g.Moments[0].Until.Sub(g.Moments[0].At))
	require.False(t, g.Moments[0].Open)
}

// A day has tens of thousands of configuration changes; they must not displace events that explain harm.
func TestNoticesDoNotDisplaceHarmfulEvents(t *testing.T) {
	a := tally.New("entry-1", "i1")
	now := noon
	for i := range 39_000 {
		now = noon.Add(time.Duration(i) * time.Second)
		a.Event(now, event.Event{Cause: cause.ConfigApplied, Subject: fmt.Sprint(i)})
	}
	a.Event(now, event.Event{Cause: cause.TargetLost, Subject: "runner-1"})
	failed(cause.TargetLost)(a, now)
	a.Close(now.Add(time.Second))
	g := digestOf(records(a), now)
	require.Equal(t, "The target runner-1, or the host it ran on, died or stopped answering.", g.Reasons[0].Sentence)
	require.LessOrEqual(t, len(g.Moments), 200)
	require.EqualValues(t, 39_001, int64(len(g.Moments))+g.MomentsMore)
}

func TestHarmsStayBoundedWhenAllJobsSuffer(t *testing.T) {
	d := day.New(noon, auckland)
	from := d.From()
	var want int64
	for m := range 24 * 60 / 15 {
		a := tally.New("entry-1", fmt.Sprint("i", m))
		at := from.Add(time.Duration(m) * 15 * time.Minute)
		for team := range 110 {
			for kind := range 4 {
				a.Refused(at, fmt.Sprint("team-", team), fmt.Sprint("kind-", kind), cause.Overload)
				want++
			}
		}
		a.Close(at.Add(time.Minute))
		for _, r := range records(a) {
			d.Add(r)
		}
	}
	g := d.Digest(d.To())
	require.Equal(t, want, g.Totals.Suffered)
	require.Equal(t, want, g.Reasons[0].Jobs)
	require.Len(t, g.Suffered, 440)
}
