package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
)

// slowRoute has jobs that wait for seconds before they are refused.
var slowRoute = &route.Route{Name: "slow", Service: "s", MaxAttempts: 3, BaseObjective: 20 * time.Second, Stretch: 2}

// connection is the connection of a caller whose end the entry reads late or never.
type connection struct{ ended bool }

func (h *harness) submitOver(c *connection, b *batch.Batch) uint64 {
	next := *b
	next.Left = func() bool { return c.ended }
	return h.sched.Submit(h.now, &next, func(f jobend.Outcome) { h.outcomes[b.ID] = f })
}

func (h *harness) slowBatch(id string) *batch.Batch {
	b := h.batch(id, 1, 200*time.Millisecond)
	b.Route, b.Deadline = slowRoute, h.now.Add(30*time.Second)
	return b
}

// TestNoTaskStartsAfterAStallForACallerThatHasLeft guards against two runs of a task: an entry that woke up started the job of a caller
// whose leave it read more than stallDelay after the request, while the repetition ran at another entry.
func TestNoTaskStartsAfterAStallForACallerThatHasLeft(t *testing.T) {
	const stall = 3 * time.Second
	for name, submit := range map[string]func(h *harness, c *connection){
		"request held up on its way": func(h *harness, c *connection) {
			c.ended = true
			b := h.slowBatch("j")
			b.HeldUp = true
			h.submitOver(c, b)
		},
		"request read after the stall": func(h *harness, c *connection) {
			c.ended = true
			h.advance(stall)
			h.run(100 * time.Millisecond)
			h.submitOver(c, h.slowBatch("j"))
		},
		"request read late after the stall": func(h *harness, c *connection) {
			c.ended = true
			h.advance(stall)
			h.run(2 * backlogTime)
			h.submitOver(c, h.slowBatch("j"))
		},
		"queued before the stall": func(h *harness, c *connection) {
			h.reportUsage("a", capacity/taskMillicores)
			h.submitOver(c, h.slowBatch("j"))
			c.ended = true
			h.advance(stall)
			h.reportUsage("a", 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.join("a", 1)
			submit(h, &connection{})
			h.run(4 * stallDelay)
			require.Empty(t, h.starts)
			require.Len(t, h.summaries, 1)
			require.Equal(t, jobend.Outcome{Kind: jobend.Cancelled, Reason: CallerLeft}, h.summaries[0].Outcome)
		})
	}
}

// TestNoTaskIsRetriedAfterAStallForACallerThatHasLeft is the same for a task whose attempt ended during the stall.
func TestNoTaskIsRetriedAfterAStallForACallerThatHasLeft(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.join("b", 1)
	c := &connection{}
	h.submitOver(c, h.slowBatch("j"))
	require.Len(t, h.starts, 1)
	c.ended = true
	h.now = h.now.Add(3 * time.Second)
	h.endAttempt(h.startTargets[0], EndStopped, 0)
	h.run(4 * stallDelay)
	require.Len(t, h.starts, 1)
	require.False(t, h.sched.Running("j"))
}

// TestAJobWithAnotherCallerStartsAfterAStall guards against jobs that are cancelled although a caller who submitted them once more waits.
func TestAJobWithAnotherCallerStartsAfterAStall(t *testing.T) {
	for _, leftIsFirst := range []bool{true, false} {
		h := newHarness()
		h.join("a", 1)
		h.advance(3 * time.Second)
		left := &connection{ended: true}
		order := []*connection{left, {}}
		if !leftIsFirst {
			order = []*connection{{}, left}
		}
		callers := map[*connection]uint64{}
		for _, c := range order {
			callers[c] = h.submitOver(c, h.slowBatch("j"))
		}
		h.run(4 * stallDelay)
		require.Len(t, h.starts, 1)
		h.sched.Leave(h.now, "j", callers[left])
		require.True(t, h.sched.Running("j"))
		h.endAttempt("a", EndDone, 0)
		require.Equal(t, jobend.Done, h.outcomes["j"].Kind)
	}
}

// TestAHeldUpRepetitionDoesNotStartAJobThatItsOtherCallerLeft guards against a job that runs for a caller who left before its repeated
// request was read: the job itself was read at once.
func TestAHeldUpRepetitionDoesNotStartAJobThatItsOtherCallerLeft(t *testing.T) {
	h := newHarness()
	h.join("a", 1)
	h.reportUsage("a", capacity/taskMillicores)
	first := h.submitOver(&connection{}, h.slowBatch("j"))
	repeated := h.slowBatch("j")
	repeated.HeldUp = true
	h.submitOver(&connection{ended: true}, repeated)
	h.sched.Leave(h.now, "j", first)
	h.reportUsage("a", 0)
	h.run(4 * stallDelay)
	require.Empty(t, h.starts)
	require.False(t, h.sched.Running("j"))
}
