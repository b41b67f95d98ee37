package day_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

var (
	auckland = mustZone("Pacific/Auckland")
	// noon is 13:00 on 2 March in Auckland.
	noon = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
)

func mustZone(name string) *time.Location {
	loc, err := time.LoadLocation(name)
	if err != nil {
		panic(err)
	}
	return loc
}

func records(t *tally.Tally) []*rollup.Rollup {
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

// badDay is a day on which work of castle-kits suffered as recorded by what, while points and span happened.
type badDay struct {
	cause    cause.Cause
	what     func(t *tally.Tally, now time.Time)
	points   []event.Event
	span     *event.Event
	sentence string
}

func failed(c cause.Cause) func(*tally.Tally, time.Time) {
	return func(t *tally.Tally, now time.Time) {
		t.JobEnded(now, "castle-kits", "label", ended.Failed, c, time.Second, time.Second, 0, 1)
	}
}

func refused(c cause.Cause) func(*tally.Tally, time.Time) {
	return func(t *tally.Tally, now time.Time) { t.Refused(now, "castle-kits", "label", c) }
}

func unknown(c cause.Cause) func(*tally.Tally, time.Time) {
	return func(t *tally.Tally, now time.Time) {
		t.JobEnded(now, "castle-kits", "label", ended.Unknown, c, time.Second, time.Second, 0, 1)
	}
}

func late(t *tally.Tally, now time.Time) {
	t.JobEnded(now, "castle-kits", "label", ended.Complete, "", time.Second, time.Second, 200*time.Millisecond, 1)
}

func cancelled(t *tally.Tally, now time.Time) {
	for range 40 {
		t.JobEnded(now, "castle-kits", "label", ended.Failed, cause.Cancelled, time.Second, time.Second, 0, 0)
	}
}

func named(c cause.Cause, subject string) *event.Event {
	return &event.Event{Cause: c, Subject: subject}
}

func flood(c cause.Cause) *event.Event {
	return &event.Event{Cause: c, Team: "senandung", Kind: "renewal"}
}

var badDays = []badDay{
	{cause: cause.FloodMostUrgent, what: refused(cause.Overload), span: flood(cause.FloodMostUrgent), sentence: "A flood of renewal from senandung, the most urgent work, was more than the targets can take."},
	{cause: cause.FloodLeastUrgent, what: late, span: flood(cause.FloodLeastUrgent), sentence: "A flood of renewal from senandung, the least urgent work, was more than the targets can take."},
	{cause: cause.Flood, what: failed(cause.DeadlinePassed), span: flood(cause.Flood), sentence: "A flood of renewal from senandung was more than the targets can take."},
	{cause: cause.Overload, what: refused(cause.Overload), sentence: "More work was waiting than the targets could finish before the deadline."},
	{cause: cause.OverQuota, what: refused(cause.OverQuota), sentence: "The team asked for more than its quota allows."},
	{cause: cause.DeadlineTooShort, what: refused(cause.DeadlineTooShort), sentence: "The deadline was shorter than the work takes even on an idle target."},
	{cause: cause.DeadlinePassed, what: late, sentence: "The deadline came before the work was done."},
	{cause: cause.NeverFits, what: refused(cause.NeverFits), sentence: "The work is too large for any target, even an idle one, so it can never run."},
	{cause: cause.DeclaredTooSmall, what: failed(cause.DeclaredTooSmall), sentence: "The work needed more room or time than it had declared."},
	{cause: cause.Straggler, what: failed(cause.Straggler), sentence: "One slow task held up its whole job."},
	{cause: cause.TaskFailed, what: failed(cause.TaskFailed), sentence: "The work itself failed; the target that ran it was healthy."},
	{cause: cause.KindFails, what: failed(cause.TaskFailed), points: []event.Event{{Cause: cause.KindFails, Team: "castle-kits", Kind: "label"}}, sentence: "Work of label from castle-kits failed on every target, so the fault lies in the work."},
	{cause: cause.RetriesSpent, what: refused(cause.RetriesSpent), sentence: "The work was turned away by targets until no more retries were allowed."},
	{cause: cause.NoTargets, what: refused(cause.NoTargets), sentence: "No target able to run the work was in service."},
	{cause: cause.TargetLost, what: failed(cause.TargetLost), points: []event.Event{{Cause: cause.TargetLost, Subject: "runner-3"}, {Cause: cause.TargetLost, Subject: "runner-4"}}, sentence: "The target runner-3 (and 1 more), or the host it ran on, died or stopped answering."},
	{cause: cause.TargetFails, what: failed(cause.TaskFailed), span: named(cause.TargetFails, "runner-7"), sentence: "The target runner-7 failed everything that it started, until it was taken out of service."},
	{cause: cause.TargetSlow, what: failed(cause.Straggler), span: named(cause.TargetSlow, "runner-2"), sentence: "The target runner-2 became far slower than it had been."},
	{cause: cause.GuardStopped, what: failed(cause.GuardStopped), sentence: "The work was stopped to protect the host it ran on, which was short of room."},
	{cause: cause.LeaseLapsed, what: unknown(cause.LeaseLapsed), points: []event.Event{{Cause: cause.LeaseLapsed, Subject: "worker-5"}}, sentence: "The permission of worker-5 to run work ended while it stood still."},
	{cause: cause.AnswerLost, what: unknown(cause.AnswerLost), sentence: "The answer was lost on the way back: the work may have run, and was not run again."},
	{cause: cause.EntryLost, what: unknown(cause.AnswerLost), points: []event.Event{{Cause: cause.EntryLost, Subject: "entry-2"}}, sentence: "The entry entry-2 died, and another took over its work."},
	{cause: cause.EntryPaused, what: late, span: named(cause.EntryPaused, "entry-1"), sentence: "The entry entry-1 stood still for some seconds, and its work waited or was taken over."},
	{cause: cause.EntryDraining, what: refused(cause.EntryDraining), sentence: "The entry was about to leave and took no new work."},
	{cause: cause.LogDown, what: refused(cause.LogDown), span: named(cause.LogDown, ""), sentence: "The platform's log was down."},
	{cause: cause.LogSlow, what: late, span: named(cause.LogSlow, ""), sentence: "The platform's log was slow."},
	{cause: cause.RegionCut, what: refused(cause.NoTargets), span: named(cause.RegionCut, "dc-south"), sentence: "dc-south could not be reached from the other data centres."},
	{cause: cause.ConfigConflict, what: refused(cause.ConfigConflict), sentence: "Two operators changed the settings at once, and one change was turned down."},
	{cause: cause.NoConfig, what: refused(cause.NoConfig), sentence: "The entry had no settings yet and took no work."},
	{cause: cause.Internal, what: failed(cause.Internal), sentence: "A fault in persimmonstage itself."},
	{cause: cause.CancelWave, what: cancelled, sentence: "Callers cancelled many jobs of label from castle-kits at once."},
	{cause: cause.Other, what: failed(""), sentence: "No cause was recorded."},
}

func (b badDay) digest() *digest.Digest {
	t := tally.New("entry-1", "i1")
	t.Advance(noon.Add(-time.Hour))
	for _, e := range b.points {
		t.Event(noon, e)
	}
	if b.span != nil {
		t.Begin(noon, *b.span)
	}
	b.what(t, noon.Add(30*time.Second))
	t.JobEnded(noon, "senandung", "stock-check", ended.Complete, "", time.Millisecond, time.Millisecond, 0, 1)
	if b.span != nil {
		t.End(noon.Add(time.Minute), *b.span)
	}
	t.Close(noon.Add(time.Hour))
	d := day.New(noon, auckland)
	for _, r := range records(t) {
		d.Add(r)
	}
	return d.Digest(noon.Add(time.Hour))
}

func TestEachHarmfulCauseIsReported(t *testing.T) {
	for _, b := range badDays {
		t.Run(string(b.cause), func(t *testing.T) {
			g := b.digest()
			require.Equal(t, digest.Badly, g.Verdict)
			require.Contains(t, g.Headline, "No. ")
			require.Len(t, g.Reasons, 1)
			require.Equal(t, b.cause, g.Reasons[0].Cause)
			require.Equal(t, b.sentence, g.Reasons[0].Sentence)
			require.Equal(t, []string{"label from castle-kits"}, g.Reasons[0].Works)
			require.Len(t, g.Suffered, 1)
			require.Equal(t, "label from castle-kits", g.Suffered[0].Name())
			require.Equal(t, g.Suffered[0].TotalJobs, g.Suffered[0].Jobs)
		})
	}
}

func TestEveryHarmfulCauseIsTested(t *testing.T) {
	tested := map[cause.Cause]bool{}
	for _, b := range badDays {
		tested[b.cause] = true
	}
	for _, c := range cause.All() {
		require.Equal(t, c.Harmful(), tested[c], c)
	}
}

func TestOperatorActionsAreInTheTimeline(t *testing.T) {
	b := badDay{what: func(*tally.Tally, time.Time) {}, span: named(cause.Drained, "host 10.0.0.7"), points: []event.Event{
		{Cause: cause.ConfigConflict, Subject: "the one of aroha"},
	}}
	g := b.digest()
	require.Equal(t, digest.Well, g.Verdict)
	var sentences []string
	for _, m := range g.Moments {
		sentences = append(sentences, m.Sentence)
	}
	require.ElementsMatch(t, []string{
		"Operators took host 10.0.0.7 out of service.",
		"Two operators changed the settings at once, and one change was turned down: the one of aroha.",
	}, sentences)
}

func TestEventsWithoutHarmMakeNoBadDay(t *testing.T) {
	for _, b := range badDays {
		b.what = func(*tally.Tally, time.Time) {}
		g := b.digest()
		require.Equal(t, digest.Well, g.Verdict, b.cause)
		require.Empty(t, g.Reasons)
	}
}
