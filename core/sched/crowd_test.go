package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/fate"
	"persimmonstage/core/route"
)

// crowd replays several entries over the same targets: each knows of the others' tasks only what the targets tell a little later.
type crowd struct {
	rng     *rand.Rand
	now     time.Time
	entries []*crowdEntry
	targets []*crowdTarget
	began   time.Time
	later   map[time.Duration][]func() // by the step of the replay at which they are due
	starts  int
	room    int // attempts refused for want of it
	served  int
	jobs    int
}

type crowdEntry struct {
	crowd *crowd
	sched *Sched
}

type crowdTarget struct {
	name  string
	pace  float64
	used  uint64
	seen  map[*crowdEntry]uint64
	dirty bool
}

const (
	crowdHop    = time.Millisecond     // from an entry to a target or back
	crowdGather = 8 * time.Millisecond // between two words of a target
	crowdSpan   = 6 * time.Second
	crowdRoom   = 72_000
	crowdNeed   = 5_200
)

func (e *crowdEntry) Placed(time.Duration) {}
func (e *crowdEntry) Taken(string, string, int, time.Duration, time.Duration, time.Duration) {
}
func (e *crowdEntry) AttemptEnded(string, int, string, string, time.Duration) {}
func (e *crowdEntry) Moved(_, _ string, _ int64)                              {}
func (e *crowdEntry) Answered(*Story)                                         {}
func (e *crowdEntry) Stop(string, uint64)                                     {}

func (e *crowdEntry) Start(name string, s *Start) {
	c := e.crowd
	c.starts++
	t := c.targets[slices.IndexFunc(c.targets, func(t *crowdTarget) bool { return t.name == name })]
	c.after(crowdHop, func() {
		t.seen[e] = max(t.seen[e], s.Attempt)
		if t.used+s.Millicores > crowdRoom {
			c.room++
			c.after(crowdHop, func() {
				e.sched.Hear(c.now, name, t.state(e))
				e.sched.Ended(c.now, name, s.Attempt, EndRoom)
			})
			return
		}
		t.used += s.Millicores
		t.dirty = true
		took := time.Duration(t.pace * float64(s.ExpectedMS) * float64(time.Millisecond) * math.Exp(0.3*c.rng.NormFloat64()))
		c.after(took, func() {
			t.used -= s.Millicores
			t.dirty = true
			c.after(crowdHop, func() {
				e.sched.Hear(c.now, name, t.state(e))
				e.sched.Ended(c.now, name, s.Attempt, EndDone)
			})
		})
	})
}

func (t *crowdTarget) state(e *crowdEntry) State {
	return State{
		Service: "s", Millicores: crowdRoom, MemoryMB: 100_000, UsedMillicores: t.used, Usable: true, Pace: t.pace, Seen: t.seen[e],
	}
}

func (c *crowd) after(d time.Duration, do func()) {
	at := c.now.Add(d + floodStep - 1).Sub(c.began).Truncate(floodStep)
	c.later[at] = append(c.later[at], do)
}

func newCrowd(seed uint64, entries, targets int) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), later: map[time.Duration][]func(){}}
	c.began = c.now
	for i := range targets {
		t := &crowdTarget{name: fmt.Sprint("t", i), pace: 1.2, seen: map[*crowdEntry]uint64{}}
		if i%4 == 0 {
			t.pace = 0.55
		}
		c.targets = append(c.targets, t)
	}
	for i := range entries {
		e := &crowdEntry{crowd: c}
		e.sched = New(e, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		for _, t := range c.targets {
			e.sched.Join(c.now, t.name, "1", "z", t.state(e))
		}
		c.entries = append(c.entries, e)
	}
	return c
}

// run plays the usual mix of kinds at a rate of jobs a second and kind for each target.
func (c *crowd) run(load float64) {
	kinds := usualKinds()
	for at := time.Duration(0); at < crowdSpan; at += floodStep {
		c.now = c.now.Add(floodStep)
		for k := range kinds {
			if c.rng.Float64() < load*kinds[k].rate*floodStep.Seconds()*float64(len(c.targets))/11 {
				c.submit(&kinds[k].route, kinds[k].tasks, kinds[k].work)
			}
		}
		due := c.now.Sub(c.began)
		for _, do := range c.later[due] {
			do()
		}
		delete(c.later, due)
		if at%crowdGather == 0 {
			c.tell()
		}
		if at%(10*time.Millisecond) == 0 {
			for _, e := range c.entries {
				e.sched.Tick(c.now)
			}
		}
	}
}

func (c *crowd) tell() {
	for _, t := range c.targets {
		if !t.dirty {
			continue
		}
		t.dirty = false
		for _, e := range c.entries {
			e.sched.Hear(c.now, t.name, t.state(e))
		}
	}
}

func (c *crowd) submit(r *route.Route, tasks float64, work time.Duration) {
	c.jobs++
	e := c.entries[c.rng.IntN(len(c.entries))]
	declared := time.Duration(float64(work) * math.Exp(0.4*c.rng.NormFloat64()))
	e.sched.Submit(c.now, &batch.Batch{
		ID: fmt.Sprintf("%016x", c.jobs), Route: r, Tasks: max(1, int(tasks*math.Exp(0.4*c.rng.NormFloat64())+0.5)),
		Millicores: crowdNeed, MemoryMB: 64, Declared: declared, Deadline: c.now.Add(1490 * time.Millisecond),
	}, func(end fate.Fate) {
		if end.Kind == fate.Done {
			c.served++
		}
	})
}

// refusedAttempts is the most that attempts may be refused for want of room at the usual load: each costs a round trip and
// processor time at both ends.
const refusedAttempts = 0.1

func TestManyEntriesDoNotMeetAtTheSameTargets(t *testing.T) {
	for _, c := range []struct{ entries, targets int }{{3, 11}, {9, 55}, {14, 77}} {
		t.Run(fmt.Sprint(c.entries, "-entries"), func(t *testing.T) {
			for seed := range uint64(2) {
				w := newCrowd(seed, c.entries, c.targets)
				w.run(1)
				share := float64(w.room) / float64(w.starts)
				t.Logf("seed %d: %d jobs, %.3f served, %.3f of the attempts refused for want of room", seed, w.jobs, float64(w.served)/float64(w.jobs), share)
				require.Less(t, share, refusedAttempts)
			}
		})
	}
}
