package proof

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/runs"
)

// repeatTarget is the target of an agent; it checks by the simulated clock that no task runs twice at a time.
type repeatTarget struct {
	w         *repeatWorld
	running   map[runs.Key]time.Time // the time of its end
	lastEnded map[string]int
	token     int // highest of the agent's processes; calls with a lower one have no effect
	leaseEnd  time.Time
	finished  []runs.Finish
	index     int64
}

// fenced reports whether a call comes from an earlier process than the latest caller.
func (t *repeatTarget) fenced(token int) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

func (t *repeatTarget) start(token int, k runs.Key, work time.Duration, until time.Time) runs.Answer {
	if t.fenced(token) {
		return runs.Rejected
	}
	t.extend(until)
	for other := range t.running {
		if other.Task == k.Task {
			if other.Number == k.Number {
				return runs.Accepted
			}
			return runs.Rejected
		}
	}
	if k.Number <= t.lastEnded[k.Task] || !t.w.now.Before(t.leaseEnd) {
		return runs.Rejected
	}
	t.running[k] = t.w.now.Add(work)
	t.w.starts++
	t.w.running[k.Task]++
	require.Equal(t.w.t, 1, t.w.running[k.Task], "seed %d: %s runs twice at %s", t.w.seed, k.Task, t.w.now.Sub(time.Unix(1000, 0)))
	t.w.after(work, func() { t.end(k, "done") })
	return runs.Accepted
}

func (t *repeatTarget) end(k runs.Key, how string) {
	at, ok := t.running[k]
	if !ok || how == "done" && t.w.now.Before(at) {
		return
	}
	delete(t.running, k)
	t.lastEnded[k.Task] = max(t.lastEnded[k.Task], k.Number)
	t.w.running[k.Task]--
	t.index++
	t.finished = append(t.finished, runs.Finish{Key: k, Index: t.index, How: how})
}

func (t *repeatTarget) stop(token int, k runs.Key) {
	if t.fenced(token) {
		return
	}
	t.lastEnded[k.Task] = max(t.lastEnded[k.Task], k.Number)
	t.end(k, "stopped")
}

func (t *repeatTarget) extend(until time.Time) {
	if !until.After(t.leaseEnd) {
		return
	}
	t.leaseEnd = until
	t.w.after(until.Sub(t.w.now), func() {
		if t.w.now.Before(t.leaseEnd) {
			return
		}
		for _, k := range t.sortedRuns() {
			t.end(k, "lapsed")
		}
	})
}

func (t *repeatTarget) poll(token int, ack int64, until, sent time.Time) *runs.Listing {
	if t.fenced(token) {
		return &runs.Listing{Sent: sent}
	}
	if !until.IsZero() {
		t.extend(until)
	}
	t.finished = slices.DeleteFunc(t.finished, func(f runs.Finish) bool { return f.Index <= ack })
	l := &runs.Listing{Sent: sent, Finished: slices.Clone(t.finished)}
	for _, k := range t.sortedRuns() {
		l.Running = append(l.Running, runs.Progress{Key: k, Percent: 50})
	}
	return l
}

// sortedRuns returns the runs in a fixed order, so that a seed gives the same sequence each time.
func (t *repeatTarget) sortedRuns() []runs.Key {
	return slices.SortedFunc(maps.Keys(t.running), func(a, b runs.Key) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
}
