package proof

import (
	"fmt"
	"strings"
	"time"

	"persimmonstage/core/runs"
)

// repeatRun is the latest run of a task.
type repeatRun struct {
	owner   string // the entry's process that ordered it
	ordered int    // the number of its order
	target  *repeatTarget
	key     runs.Key
	began   time.Time
	ended   time.Time // zero while it runs
}

func (r *repeatRun) String() string {
	if r == nil {
		return "none"
	}
	at := r.began.Sub(time.Unix(1000, 0))
	return fmt.Sprintf("%s (order %d, run %d on %s from %s)", r.owner, r.ordered, r.key.Number, r.target.agent.name, at)
}

// ranUntilNow records the end of a run.
func (t *repeatTarget) ranUntilNow(k runs.Key) {
	if r := t.w.lastRun[k.Task]; r.target == t && r.key == k {
		r.ended = t.w.now
	}
}

// gapBounds are the upper bounds, in ms, of the buckets of a gapCount.
var gapBounds = [...]int64{0, 5, 10, 20, 40, 80, 160, 320, 640}

// gapCount counts the times between the end of a run and the start of the next one of the same task, by another entry's process.
type gapCount struct {
	counts [len(gapBounds) + 1]int
	least  time.Duration
	n      int
}

func (g *gapCount) add(d time.Duration) {
	if g.n == 0 || d < g.least {
		g.least = d
	}
	g.n++
	i := 0
	for i < len(gapBounds) && d.Milliseconds() >= gapBounds[i] {
		i++
	}
	g.counts[i]++
}

func (g *gapCount) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d gaps, least %s; by ms:", g.n, g.least)
	for i, n := range g.counts {
		if i < len(gapBounds) {
			fmt.Fprintf(&b, " <%d: %d,", gapBounds[i], n)
			continue
		}
		fmt.Fprintf(&b, " more: %d", n)
	}
	return b.String()
}

// countGap counts the time between the runs of two submissions at different entries' processes.
func (w *repeatWorld) countGap(before, next *repeatRun) {
	switch {
	case before == nil || before.owner == next.owner:
	case before.ended.IsZero():
		w.gaps.add(-time.Millisecond)
	default:
		w.gaps.add(next.began.Sub(before.ended))
	}
}
