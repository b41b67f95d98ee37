package surge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/surge"
)

// bench steps a Surge second by second. Works are served in the order of the list, each with jobs of the same size;
// what is asked for beyond the room of a second is refused.
type bench struct {
	s    surge.Detector
	now  time.Time
	room int // tasks a second
	size int // tasks a job
	log  []string
}

func newBench() *bench {
	return &bench{now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC), room: 100, size: 1}
}

type asked struct {
	kind           string
	urgency, tasks int
}

func (b *bench) run(seconds int, works ...asked) {
	for range seconds {
		left := b.room
		for _, w := range works {
			for range w.tasks / b.size {
				b.s.AddJob("team", w.kind, w.urgency, b.size)
				if left < b.size {
					b.s.AddShortage("team", w.kind)
					continue
				}
				left -= b.size
			}
		}
		b.now = b.now.Add(time.Second)
		begun, ended := b.s.Step(b.now)
		b.note("begin", begun)
		b.note("end", ended)
	}
}

func (b *bench) note(what string, es []event.Event) {
	for _, e := range es {
		b.log = append(b.log, fmt.Sprint(what, " ", e.Cause, " ", e.Kind))
	}
}

var (
	labels = asked{"label", 5, 30}
	checks = asked{"stock-check", 9, 30}
	sheets = asked{"cut-sheet", 1, 10}
)

func TestUsualWorkIsNoFlood(t *testing.T) {
	b := newBench()
	b.run(3600, labels, checks, sheets)
	require.Empty(t, b.log)
}

func TestFloodBeginsSoonAndEnds(t *testing.T) {
	for kind, want := range map[string]cause.Cause{
		"stock-check": cause.FloodMostUrgent, "cut-sheet": cause.FloodLeastUrgent, "label": cause.Flood,
	} {
		b := newBench()
		b.run(600, labels, checks, sheets)
		works := []asked{labels, checks, sheets}
		for i := range works {
			if works[i].kind == kind {
				works[i].tasks = 1000
			}
		}
		b.run(25, works...)
		require.Equal(t, []string{fmt.Sprint("begin ", want, " ", kind)}, b.log, "within two windows")
		b.run(1800, works...)
		require.Len(t, b.log, 1, "a long flood is still one")
		b.run(50, labels, checks, sheets)
		require.Equal(t, fmt.Sprint("end ", want, " ", kind), b.log[1])
		b.run(600, labels, checks, sheets)
		require.Len(t, b.log, 2)
	}
}

func TestLossOfTargetsIsNoFlood(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks, sheets)
	b.room = 20
	b.run(1800, labels, checks, sheets)
	require.Empty(t, b.log)
}

func TestRushThatFindsRoomIsNoFlood(t *testing.T) {
	b := newBench()
	b.room = 10_000
	b.run(600, labels, checks, sheets)
	b.run(600, labels, asked{"stock-check", 9, 1000}, sheets)
	require.Empty(t, b.log)
}

func TestKindNeverSeenBeforeCanFlood(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks)
	b.run(25, labels, checks, asked{"batch", 0, 1000})
	require.Equal(t, []string{"begin flood-least-urgent batch"}, b.log)
}

func TestEntryThatJustStartedCallsNothingAFlood(t *testing.T) {
	b := newBench()
	b.run(60, labels, checks, asked{"batch", 0, 1000})
	require.Empty(t, b.log)
}

func TestFloodsTogether(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks, sheets)
	b.run(25, labels, asked{"stock-check", 9, 900}, asked{"cut-sheet", 1, 800})
	require.Equal(t, []string{"begin flood-least-urgent cut-sheet", "begin flood-most-urgent stock-check"}, b.log)
}

func TestFloodOfHugeJobs(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks)
	b.room, b.size = 40, 160
	b.run(25, asked{"batch", 0, 320})
	require.Equal(t, []string{"begin flood-least-urgent batch"}, b.log)
}
