package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newLabelled(born int64, label string) *Instance {
	l := newInstance("i-1", born, 1)
	l.Labels = []string{label}
	return l
}

// TestAProcessIsNotUsedBeforeItHasAnnouncedItself guards against tasks on a target of the wrong kind: a process that was back under the
// same id and address was offered with the labels and the capacity of the one before.
func TestAProcessIsNotUsedBeforeItHasAnnouncedItself(t *testing.T) {
	g := newBusyHarness(t)
	restarted := &Listing{Born: 9, Sent: g.now}
	g.runs.Listed(g.now, restarted)
	require.Equal(t, []string{"crashed a 0", "ended e 1 crashed"}, g.takeLog())
	g.runs.Listed(g.now, restarted)
	require.Equal(t, State{Pace: 1}, g.runs.State(g.now, "e"))
	g.order(2, "b")
	require.Equal(t, []string{"ended e 2 refused"}, g.takeLog())
	g.runs.Announced(g.now, newLabelled(9, "b"))
	g.runs.Listed(g.now, restarted)
	g.order(3, "b")
	require.Equal(t, []string{"start b/1"}, g.takeLog())
	require.Equal(t, []string{"b"}, g.runs.State(g.now, "e").Labels)
}

// TestARecalledAnnouncementOfAnEarlierProcessIsNotUsed guards against the same after a loss of power, when the agent starts with what it
// knew before.
func TestARecalledAnnouncementOfAnEarlierProcessIsNotUsed(t *testing.T) {
	g := &harness{t: t, now: time.Unix(1000, 0)}
	g.runs = New(g)
	g.runs.Announced(g.now, newLabelled(5, "a"))
	require.Nil(t, g.runs.Confirmed(), "not to be saved again either")
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.Empty(t, g.takeLog(), "no crash was seen")
	require.Nil(t, g.runs.Instance())
	next := newLabelled(9, "b")
	g.runs.Announced(g.now, next)
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.True(t, g.runs.Clean())
	require.Same(t, next, g.runs.Confirmed())
}

// A target that is back at once announces itself before the agent has seen its list.
func TestAnAnnouncedProcessIsUsedOnceItIsListed(t *testing.T) {
	g := newBusyHarness(t)
	g.runs.Announced(g.now, newLabelled(9, "b"))
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.Equal(t, []string{"crashed a 0", "ended e 1 crashed"}, g.takeLog())
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.Equal(t, []string{"b"}, g.runs.State(g.now, "e").Labels)
	require.True(t, g.runs.State(g.now, "e").Usable)
}

// TestAStartThatIsStillCalledOutlivesEachRestart guards against two runs of a task: a target crashed twice, or its crash was noticed
// twice, while its agent still repeated a start that the first crash had broken off. The start then reached the last process.
func TestAStartThatIsStillCalledOutlivesEachRestart(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.takeLog()
	for born := int64(9); born < 12; born++ {
		g.runs.Announced(g.now, newInstance("i-1", born, 1))
		g.runs.Listed(g.now, &Listing{Born: born, Sent: g.now})
		require.Equal(t, []string{"stop a/1"}, g.takeLog())
		g.advance(time.Millisecond)
		g.runs.StopAnswered(g.now, Key{"a", 1}, Accepted)
	}
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.advance(time.Millisecond)
	g.runs.Listed(g.now, &Listing{Born: 11, Sent: g.now})
	require.Equal(t, []string{"ended e 1 stopped"}, g.takeLog())
}

// The start reached the first process and is listed there before its answer.
func TestAListedStartThatIsStillCalledOutlivesARestart(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.poll(listedOne("a", 10), nil)
	g.takeLog()
	g.runs.Announced(g.now, newInstance("i-1", 9, 1))
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.Equal(t, []string{"crashed a 0", "stop a/1"}, g.takeLog())
	require.Equal(t, 1, g.runs.Len())
}

// TestAnOrderForAnEarlierProcessIsRefused guards against a task on a target of the wrong kind: its entry, which was frozen, had chosen the
// process before.
func TestAnOrderForAnEarlierProcessIsRefused(t *testing.T) {
	g := newHarness(t)
	chosen := g.runs.State(g.now, "e").Process
	require.NotZero(t, chosen)
	order := func(attempt uint64) {
		g.runs.Order(g.now, "e", &Order{Attempt: attempt, Task: "a", Number: 1, Millicores: need, MemoryMB: 1, Process: chosen})
	}
	g.runs.Announced(g.now, newLabelled(9, "b"))
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	require.True(t, g.runs.State(g.now, "e").Usable)
	g.takeLog()
	order(1)
	require.Equal(t, []string{"ended e 1 refused"}, g.takeLog())
	chosen = g.runs.State(g.now, "e").Process
	order(2)
	require.Equal(t, []string{"start a/1"}, g.takeLog())
}

// TestAStartThatTheNextProcessAcceptedIsNotTakenForEnded guards against two runs of a task: a target was back at once under its id, the
// start reached the next process, and its first list was taken for the end of all runs.
func TestAStartThatTheNextProcessAcceptedIsNotTakenForEnded(t *testing.T) {
	for name, list := range map[string]*Listing{
		"runs":         {Born: 9, Running: listedOne("a", 10)},
		"has ended":    {Born: 9, Finished: []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}}},
		"not yet seen": {Born: 9, Sent: time.Unix(999, 0)},
	} {
		g := newBusyHarness(t)
		if list.Sent.IsZero() {
			list.Sent = g.now
		}
		g.runs.Listed(g.now, list)
		require.Equal(t, []string{"crashed a 0", "stop a/1"}, g.takeLog(), name)
		g.runs.Announced(g.now, newInstance("i-1", 9, 1))
		g.advance(time.Millisecond)
		g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now, Finished: []Finish{{Key: Key{"a", 1}, Index: 1, How: "done"}}})
		require.Equal(t, []string{"ended e 1 done"}, g.takeLog(), name)
	}
}

// A start that nobody lists any more ends with the lease, where no process has announced itself.
func TestAStartAtAnUnknownProcessEndsWithTheLease(t *testing.T) {
	g := newHarness(t)
	g.order(1, "a")
	g.takeLog()
	g.runs.Listed(g.now, &Listing{Born: 9, Sent: g.now})
	g.runs.StartAnswered(g.now, Key{"a", 1}, Lost, "")
	g.advance(Lease)
	g.runs.RecordEcho("e", g.now)
	g.runs.Tick(g.now)
	require.NotContains(t, g.takeLog(), "ended e 1 lapsed")
	g.advance(20 * time.Millisecond)
	g.runs.Tick(g.now)
	require.Contains(t, g.takeLog(), "ended e 1 lapsed")
	require.Equal(t, 1, g.fences)
}

// TestAnAnswerThatWasReadLateDoesNotShowThatTheTargetIsUp guards against starts at a target that ended while its agent was frozen: an
// answer that had arrived before made it usable.
func TestAnAnswerThatWasReadLateDoesNotShowThatTheTargetIsUp(t *testing.T) {
	g := newHarness(t)
	sent := g.now
	g.advance(2 * time.Second)
	g.runs.RecordEcho("e", g.now)
	g.runs.Listed(g.now, &Listing{Born: 5, Sent: sent})
	require.False(t, g.runs.State(g.now, "e").Usable)
	g.runs.Listed(g.now, &Listing{Born: 5, Sent: g.now})
	require.True(t, g.runs.State(g.now, "e").Usable)
}
