package flood_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/flood"
)

// bench steps a Detector second by second. Work is served in the order of the list, in jobs of the same size; what
// exceeds the capacity of a second is refused.
type bench struct {
	detector flood.Detector
	now      time.Time
	capacity int // tasks per second
	size     int // tasks per job
	log      []string
}

func newBench() *bench {
	return &bench{now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC), capacity: 100, size: 1}
}

type load struct {
	kind           string
	urgency, tasks int
}

func (b *bench) run(seconds int, loads ...load) {
	for range seconds {
		left := b.capacity
		for _, w := range loads {
			for range w.tasks / b.size {
				b.detector.AddJob("team", w.kind, w.urgency, b.size)
				if left < b.size {
					b.detector.AddShortage("team", w.kind)
					continue
				}
				left -= b.size
			}
		}
		b.now = b.now.Add(time.Second)
		begun, ended := b.detector.Step(b.now)
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
	labels = load{"label", 5, 30}
	checks = load{"stock-check", 9, 30}
	sheets = load{"cut-sheet", 1, 10}
)

func TestUsualLoadIsNoFlood(t *testing.T) {
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
		loads := []load{labels, checks, sheets}
		for i := range loads {
			if loads[i].kind == kind {
				loads[i].tasks = 1000
			}
		}
		b.run(25, loads...)
		require.Equal(t, []string{fmt.Sprint("begin ", want, " ", kind)}, b.log, "within two windows")
		b.run(1800, loads...)
		require.Len(t, b.log, 1, "a long flood is reported once")
		b.run(50, labels, checks, sheets)
		require.Equal(t, fmt.Sprint("end ", want, " ", kind), b.log[1])
		b.run(600, labels, checks, sheets)
		require.Len(t, b.log, 2)
	}
}

func TestLossOfTargetsIsNoFlood(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks, sheets)
	b.capacity = 20
	b.run(1800, labels, checks, sheets)
	require.Empty(t, b.log)
}

func TestRushWithinCapacityIsNoFlood(t *testing.T) {
	b := newBench()
	b.capacity = 10_000
	b.run(600, labels, checks, sheets)
	b.run(600, labels, load{"stock-check", 9, 1000}, sheets)
	require.Empty(t, b.log)
}

func TestKindNeverSeenBeforeCanFlood(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks)
	b.run(25, labels, checks, load{"batch", 0, 1000})
	require.Equal(t, []string{"begin flood-least-urgent batch"}, b.log)
}

func TestNoFloodIsReportedWhileLearning(t *testing.T) {
	b := newBench()
	b.run(60, labels, checks, load{"batch", 0, 1000})
	require.Empty(t, b.log)
}

func TestSimultaneousFloods(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks, sheets)
	b.run(25, labels, load{"stock-check", 9, 900}, load{"cut-sheet", 1, 800})
	require.Equal(t, []string{"begin flood-least-urgent cut-sheet", "begin flood-most-urgent stock-check"}, b.log)
}

func TestFloodOfHugeJobs(t *testing.T) {
	b := newBench()
	b.run(600, labels, checks)
	b.capacity, b.size = 40, 160
	b.run(25, load{"batch", 0, 320})
	require.Equal(t, []string{"begin flood-least-urgent batch"}, b.log)
}
