package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
)

const (
	resubmission = 1300 * time.Millisecond
	// heartbeatsOfAClaim is the longest time that a claim takes to the other entries.
	heartbeatsOfAClaim = 350 * time.Millisecond
)

func (h *harness) resubmittable(id string, work time.Duration) *batch.Batch {
	b := h.batch(id, 1, work)
	b.ResubmitAt = h.now.Add(resubmission)
	return b
}

// TestAJobIsClaimedBeforeAnotherEntryMayBeHandedIt guards against double runs: callers whose leave isn't seen hand their jobs in again.
func TestAJobIsClaimedBeforeAnotherEntryMayBeHandedIt(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.resubmittable("runs", time.Second))
	h.submit(h.resubmittable("ends", 100*time.Millisecond))
	short := h.resubmittable("short", time.Second)
	short.Deadline = h.now.Add(resubmission - claimLead)
	h.submit(short)
	h.endAttempt("a", EndDone, 1)
	h.run(resubmission - heartbeatsOfAClaim)
	require.Equal(t, []string{"runs"}, h.claims)
	h.sched.ClaimSent("runs")
	h.run(heartbeatsOfAClaim)
	require.Len(t, h.claims, 1, "a job is claimed once")
}

// TestAClaimedJobStartsAfterTheRunsOfTheFirstEntry guards against double runs: an entry that is handed a job starts it beside the runs of the
// entry that got it before.
func TestAClaimedJobStartsAfterTheRunsOfTheFirstEntry(t *testing.T) {
	const claimed = 200 * time.Millisecond
	for name, claim := range map[string]func(h *harness, b *batch.Batch){
		"before": func(h *harness, b *batch.Batch) {
			b.ClaimedUntil = h.now.Add(claimed)
			h.join("a", 1)
			h.submit(b)
		},
		"while it is queued": func(h *harness, b *batch.Batch) {
			h.submit(b)
			h.sched.Claimed(h.now, b.ID, h.now.Add(claimed))
			h.join("a", 1)
		},
	} {
		h := newHarness()
		claim(h, h.resubmittable("j", 60*time.Millisecond))
		h.run(claimed - tickPeriod)
		require.Empty(t, h.starts, name)
		h.run(2 * tickPeriod)
		require.Len(t, h.starts, 1, name)
	}
}

func TestAJobThatIsClaimedForTooLongIsRefused(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	b := h.resubmittable("j", time.Second)
	b.ClaimedUntil = h.now.Add(time.Second)
	h.submit(b)
	require.Equal(t, jobend.Refused, h.outcomes["j"].Kind)
	require.Equal(t, Claimed, h.outcomes["j"].Reason)
	require.Empty(t, h.starts)
}

func TestAClaimThatComesTooLateStopsNothing(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.resubmittable("j", 60*time.Millisecond))
	h.sched.Claimed(h.now, "j", h.now.Add(time.Second))
	require.Len(t, h.starts, 1)
	h.endAttempt("a", EndDone, 0)
	require.Equal(t, jobend.Done, h.outcomes["j"].Kind)
}

// TestAJobThatIsClaimedTooLateIsEnded guards against double runs: an entry that stalls when a claim is due can't tell the others in time.
func TestAJobThatIsClaimedTooLateIsEnded(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.resubmittable("j", 1400*time.Millisecond))
	h.run(resubmission - claimLead - tickPeriod)
	h.advance(lateClaim + 2*tickPeriod)
	require.Equal(t, jobend.Unfinished, h.outcomes["j"].Kind)
	require.Equal(t, Unclaimed, h.outcomes["j"].Reason)
	require.Empty(t, h.claims)
	require.Len(t, h.stops, 1)
}

// TestAJobWhoseClaimReachesNoAgentIsEnded guards against double runs: an entry without agents can't tell the others of a job.
func TestAJobWhoseClaimReachesNoAgentIsEnded(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.submit(h.resubmittable("j", 1400*time.Millisecond))
	h.run(resubmission - claimLead + lateClaim + 2*tickPeriod)
	require.Equal(t, []string{"j"}, h.claims)
	require.Equal(t, Unclaimed, h.outcomes["j"].Reason)
}

// TestALongJobIsClaimedAgainUntilItEnds guards against double runs beside jobs whose deadline is long after their callers may come again, and
// against claims that bar the other entries long after such a job has ended.
func TestALongJobIsClaimedAgainUntilItEnds(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	b := h.resubmittable("j", 4*time.Second)
	b.Deadline = h.now.Add(10 * time.Second)
	h.submit(b)
	for range 300 {
		h.run(tickPeriod)
		h.sched.ClaimSent("j")
		if h.now.Sub(b.ResubmitAt) > -claimLead {
			require.GreaterOrEqual(t, h.claimedUntil.Sub(h.now), claimLead+lastRunTime-2*tickPeriod)
			require.LessOrEqual(t, h.claimedUntil.Sub(h.now), claimLead+claimPeriod+lastRunTime)
		}
	}
	require.Empty(t, h.outcomes)
	require.Greater(t, len(h.claims), 5)
}

// TestARequestThatMayHaveWaitedTooLongIsRefused guards against double runs: an entry that was frozen reads a request after its caller has
// submitted the job to another entry.
func TestARequestThatMayHaveWaitedTooLongIsRefused(t *testing.T) {
	for _, c := range []struct {
		stall, waited time.Duration
		known         bool
		reason        string
	}{
		{stall: 2 * time.Second, reason: Unclaimed},
		{stall: 2 * time.Second, known: true},
		{stall: 2 * time.Second, known: true, waited: resubmission, reason: Unclaimed},
		{stall: 500 * time.Millisecond},
	} {
		h := newHarness()
		h.join("a", 1)
		h.advance(c.stall)
		b := h.resubmittable("j", 60*time.Millisecond)
		b.ResubmitAt, b.ArrivalKnown = b.ResubmitAt.Add(-c.waited), c.known
		h.submit(b)
		require.Equal(t, c.reason, h.outcomes["j"].Reason, "%+v", c)
		h.run(2 * stallDelay)
		require.Equal(t, c.reason == "", len(h.starts) == 1, "%+v", c)
	}
}
