package proof

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/runs"
)

// repeatTarget is one process of an agent's target; it checks by the simulated clock that no task runs twice at a time, and that tasks
// run only where they may.
type repeatTarget struct {
	w         *repeatWorld
	agent     *repeatAgent
	self      runs.Instance          // as it announces itself
	ended     bool                   // the process has ended, its port is closed
	foreign   bool                   // it is the target of another host, and starts nothing for this one
	running   map[runs.Key]time.Time // the time of its end
	lastEnded map[string]int
	token     int // highest of the agent's calls; calls with a lower one have no effect
	leaseEnd  time.Time
	finished  []runs.Finish
	index     int64
	drainedAt time.Time // when its agent acknowledged that it drains
}

func newRepeatTarget(a *repeatAgent, self runs.Instance) *repeatTarget {
	return &repeatTarget{w: a.w, agent: a, self: self, running: map[runs.Key]time.Time{}, lastEnded: map[string]int{}}
}

// fenced reports whether a call comes before the latest one that the target has seen.
func (t *repeatTarget) fenced(token int) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

// start carries out a start; late is set if it was held up in the target.
func (t *repeatTarget) start(token int, k runs.Key, o *runs.Order, until time.Time, late bool) runs.Answer {
	if t.ended || t.foreign || t.fenced(token) {
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
	work := o.Expected
	if t.w.tight {
		work *= 2
	}
	t.running[k] = t.w.now.Add(work)
	t.w.starts++
	t.w.running[k.Task]++
	before := t.w.lastRun[k.Task]
	t.w.lastRun[k.Task] = &repeatRun{owner: string(o.Payload), ordered: o.Number, target: t, key: k, began: t.w.now}
	t.w.countGap(before, t.w.lastRun[k.Task])
	t.check(k, before, late)
	t.w.after(work, func() { t.end(k, "done") })
	return runs.Accepted
}

// drainGrace is how long after the acknowledgement that it drains a target may get starts.
const drainGrace = 2 * time.Second

// check checks a start that has just been carried out.
func (t *repeatTarget) check(k runs.Key, before *repeatRun, late bool) {
	at := t.w.now.Sub(time.Unix(1000, 0))
	require.Equal(t.w.t, 1, t.w.running[k.Task], "seed %d: TWICE: %s runs twice at %s, ordered by %s and before by %s", t.w.seed, k.Task, at,
		t.w.lastRun[k.Task], before)
	id, _, _ := strings.Cut(k.Task, ".")
	if label := t.w.labels[id]; label != "" {
		require.Contains(t.w.t, t.self.Labels, label, "seed %d: ROUTE: %s runs at a target of another kind at %s", t.w.seed, k.Task, at)
	}
	if since, ok := t.w.cancelled[id]; ok && !late && t.agent.knowsCancelled(id) {
		require.LessOrEqual(t.w.t, t.w.now.Sub(since), cancelTime, "seed %d: UNASKED: %s starts at %s", t.w.seed, k.Task, at)
	}
	if !late {
		t.w.checkEvacuation(t.agent, t.self.DataCentre, k.Task)
	}
	if !late && !t.drainedAt.IsZero() {
		require.LessOrEqual(t.w.t, t.w.now.Sub(t.drainedAt), drainGrace, "seed %d: DRAIN: %s starts at %s", t.w.seed, k.Task, at)
	}
}

func (t *repeatTarget) end(k runs.Key, how string) {
	at, ok := t.running[k]
	if !ok || how == "done" && t.w.now.Before(at) {
		return
	}
	delete(t.running, k)
	t.ranUntilNow(k)
	t.lastEnded[k.Task] = max(t.lastEnded[k.Task], k.Number)
	t.w.running[k.Task]--
	t.index++
	t.finished = append(t.finished, runs.Finish{Key: k, Index: t.index, How: how})
}

// crash ends the process with all that runs there.
func (t *repeatTarget) crash() {
	for k := range t.running {
		t.w.running[k.Task]--
		t.ranUntilNow(k)
	}
	clear(t.running)
	t.ended = true
}

func (t *repeatTarget) stop(token int, k runs.Key) {
	if t.ended || t.fenced(token) {
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

// poll returns the lists, or nil if the call is fenced.
func (t *repeatTarget) poll(token int, ack int64, until, sent time.Time) *runs.Listing {
	if t.ended || t.fenced(token) {
		return nil
	}
	if !until.IsZero() {
		t.extend(until)
	}
	t.finished = slices.DeleteFunc(t.finished, func(f runs.Finish) bool { return f.Index <= ack })
	l := &runs.Listing{Born: t.self.Born, Sent: sent, Clock: t.w.now.UnixMilli(), Finished: slices.Clone(t.finished)}
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
