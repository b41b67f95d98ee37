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
	"persimmonstage/core/offer"
	"persimmonstage/core/route"
	"persimmonstage/core/subset"
)

// fleet is what a replay of several entries is made of.
type fleet struct {
	entries, targets int
	need             uint64 // thousandths of a core a task
	clients          int    // connections of callers, each at an entry drawn at random
	atOnce           bool   // targets tell all entries at once of room that is scarce
}

// crowd replays several entries over the same targets: each knows of the others' tasks only what the targets tell a little later.
type crowd struct {
	fleet   fleet
	rng     *rand.Rand
	now     time.Time
	entries []*crowdEntry
	clients []*crowdEntry
	targets []*crowdTarget
	began   time.Time
	later   map[time.Duration][]func() // by the step of the replay at which they are due
	starts  int
	words   int // states that entries heard
	inTime  int
	jobs    int
	tasks   int
}

type crowdEntry struct {
	crowd *crowd
	name  string
	sched *Sched
}

type crowdTarget struct {
	name    string
	pace    float64
	used    uint64
	seen    map[*crowdEntry]uint64
	told    map[*crowdEntry]TargetState
	known   []*crowdEntry // that it is offered to
	offer   *offer.Offer
	waiting []*crowdOrder
	changed time.Time // since when there is something to tell; zero is nothing
}

const (
	crowdHop    = 2 * time.Millisecond  // from an entry to a target or back
	crowdScarce = 5 * time.Millisecond  // between two words of a target with scarce room
	crowdAmple  = 30 * time.Millisecond // and of one with room to spare
	crowdSlots  = 3                     // tasks for which there is no room if room is scarce
	crowdWait   = 10 * time.Millisecond // for which one order waits for room
	crowdSpan   = 3 * time.Second
	crowdSeeds  = 6
	crowdRoom   = 72_000
	crowdSmall  = 5_200  // of which a target holds 13
	crowdLarge  = 15_000 // of which a target holds four
)

func (e *crowdEntry) JobStarted(time.Duration) {}
func (e *crowdEntry) JobAccepted(string, string, int, time.Duration, time.Duration, time.Duration) {
}
func (e *crowdEntry) AttemptEnded(string, int, string, string, time.Duration) {}
func (e *crowdEntry) TaskMoved(_, _ string, _ int64)                          {}
func (e *crowdEntry) JobEnded(*JobSummary)                                    {}
func (e *crowdEntry) Stop(string, uint64)                                     {}

func (e *crowdEntry) Start(name string, s *Start) {
	c := e.crowd
	c.starts++
	t := c.targets[slices.IndexFunc(c.targets, func(t *crowdTarget) bool { return t.name == name })]
	c.after(crowdHop, func() { t.order(&crowdOrder{entry: e, start: s}) })
}

// crowdOrder is an order at a target.
type crowdOrder struct {
	entry *crowdEntry
	start *Start
}

// order starts a task, lets it wait for room or refuses it, as agents do.
func (t *crowdTarget) order(o *crowdOrder) {
	c := o.entry.crowd
	t.seen[o.entry] = max(t.seen[o.entry], o.start.Attempt)
	t.offer.RecordOrder(c.now, o.entry.name)
	t.change(c.now)
	switch {
	case t.used+o.start.Millicores <= crowdRoom && len(t.waiting) == 0:
		t.run(o)
	case len(t.waiting) == 0:
		t.waiting = append(t.waiting, o)
		c.after(crowdWait, func() { t.expire(o) })
	default:
		t.refuse(o)
	}
}

// change notes that there is something to tell.
func (t *crowdTarget) change(now time.Time) {
	if t.changed.IsZero() {
		t.changed = now
	}
}

func (t *crowdTarget) refuse(o *crowdOrder) {
	t.end(o, EndNoRoom)
}

// expire refuses an order that still waits.
func (t *crowdTarget) expire(o *crowdOrder) {
	if i := slices.Index(t.waiting, o); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		t.refuse(o)
	}
}

func (t *crowdTarget) run(o *crowdOrder) {
	c := o.entry.crowd
	t.used += o.start.Millicores
	took := time.Duration(t.pace * float64(o.start.ExpectedMS) * float64(time.Millisecond) * math.Exp(0.3*c.rng.NormFloat64()))
	c.after(took, func() {
		t.used -= o.start.Millicores
		t.change(c.now)
		for len(t.waiting) > 0 && t.used+t.waiting[0].start.Millicores <= crowdRoom {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.run(next)
		}
		t.end(o, EndDone)
	})
}

// end tells the order's entry its end with the state.
func (t *crowdTarget) end(o *crowdOrder, how string) {
	e := o.entry
	c := e.crowd
	state := t.state(e)
	t.told[e] = state
	c.after(crowdHop, func() {
		e.sched.UpdateTarget(c.now, t.name, state)
		e.sched.Ended(c.now, t.name, o.start.Attempt, how)
	})
}

func (t *crowdTarget) state(e *crowdEntry) TargetState {
	return TargetState{
		Service: "s", Millicores: crowdRoom, MemoryMB: 100_000, UsedMillicores: t.taken(), Usable: true, Pace: t.pace, Seen: t.seen[e],
	}
}

// taken returns what runs take and waiting orders will take.
func (t *crowdTarget) taken() uint64 {
	used := t.used
	for _, o := range t.waiting {
		used += o.start.Millicores
	}
	return used
}

func (c *crowd) after(d time.Duration, do func()) {
	at := c.now.Add(d + floodStep - 1).Sub(c.began).Truncate(floodStep)
	c.later[at] = append(c.later[at], do)
}

func newCrowd(seed uint64, f fleet) *crowd {
	c := &crowd{fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), later: map[time.Duration][]func(){}}
	c.began = c.now
	for i := range f.entries {
		e := &crowdEntry{crowd: c, name: fmt.Sprint("e", i)}
		e.sched = New(e, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		c.entries = append(c.entries, e)
	}
	for i := range f.targets {
		t := &crowdTarget{name: fmt.Sprint("t", i), pace: 1.2, seen: map[*crowdEntry]uint64{}, told: map[*crowdEntry]TargetState{}, offer: offer.New(c.rng)}
		if i%4 == 0 {
			t.pace = 0.55
		}
		t.known = c.subset(t)
		for _, e := range t.known {
			e.sched.Join(c.now, t.name, "1", "z", t.state(e))
		}
		c.targets = append(c.targets, t)
	}
	for range f.clients {
		c.clients = append(c.clients, c.entries[c.rng.IntN(len(c.entries))])
	}
	return c
}

// subset returns the entries that a target is offered to.
func (c *crowd) subset(t *crowdTarget) []*crowdEntry {
	s := subset.New(t.name)
	for _, e := range c.entries {
		s.Add(e.name)
	}
	s.Choose(c.now)
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *crowdEntry) bool { return !s.Selected(e.name) })
}

// run plays the usual mix of kinds for a time, at a multiple of its usual rate for each target.
func (c *crowd) run(load float64, span time.Duration) {
	kinds := usualKinds()
	for at := time.Duration(0); at < span; at += floodStep {
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
		if at%crowdScarce == 0 {
			for _, t := range c.targets {
				c.tell(t)
			}
		}
		if at%(10*time.Millisecond) == 0 {
			for _, e := range c.entries {
				e.sched.Tick(c.now)
			}
		}
	}
}

// tell tells what has changed at a target, or goes on with the offer of its room.
func (c *crowd) tell(t *crowdTarget) {
	slots := int((crowdRoom - min(crowdRoom, t.taken())) / c.fleet.need)
	scarce := slots < crowdSlots
	switch {
	case t.changed.IsZero() && t.offer.Done(), !scarce && c.now.Sub(t.changed) < crowdAmple:
		return
	case !t.changed.IsZero():
		t.changed = time.Time{}
		t.offer.Restart(c.now, t.names())
	}
	full := slots == 0
	if c.fleet.atOnce || !scarce || full {
		slots = len(t.known)
	}
	t.offer.Extend(slots)
	for _, e := range t.known {
		st := t.state(e)
		st.Held = full || scarce && !t.offer.Offered(e.name)
		told := t.told[e]
		if told.Held != st.Held || !st.Held && told.UsedMillicores != st.UsedMillicores {
			t.told[e] = st
			c.words++
			e.sched.UpdateTarget(c.now, t.name, st)
		}
	}
}

// names returns the names of the entries that a target is offered to.
func (t *crowdTarget) names() []string {
	var list []string
	for _, e := range t.known {
		list = append(list, e.name)
	}
	return list
}

func (c *crowd) submit(r *route.Route, tasks float64, work time.Duration) {
	c.jobs++
	e := c.clients[c.rng.IntN(len(c.clients))]
	n := max(1, int(tasks*math.Exp(0.4*c.rng.NormFloat64())+0.5))
	c.tasks += n
	arrived := c.now
	declared := time.Duration(float64(work) * math.Exp(0.4*c.rng.NormFloat64()))
	e.sched.Submit(c.now, &batch.Batch{
		ID: fmt.Sprintf("%016x", c.jobs), Route: r, Tasks: n,
		Millicores: c.fleet.need, MemoryMB: 64, Declared: declared, Deadline: c.now.Add(1490 * time.Millisecond),
	}, func(end fate.Outcome) {
		if end.Kind != fate.Done {
			return
		}
		if c.now.Sub(arrived) <= r.Objective(declared) {
			c.inTime++
		}
	})
}

// startsATask returns the attempts a task, those that were refused included.
func (c *crowd) startsATask() float64 { return float64(c.starts) / float64(c.tasks) }

// part returns the share of the jobs that were served in time.
func (c *crowd) part() float64 { return float64(c.inTime) / float64(c.jobs) }

// What attempts a task may cost at half of the load that the targets can do, and close to all of it: each that is refused for
// want of room costs a round trip and processor time at both ends.
const (
	halfLoad   = 0.5
	halfStarts = 1.05
	fullLoad   = 0.95
	fullStarts = 1.2
)

// fleets are the sizes that one mechanism has to serve, with the rate of the usual mix that is the targets' whole load.
func fleets() map[string]struct {
	fleet fleet
	whole float64
} {
	type sized = struct {
		fleet fleet
		whole float64
	}
	return map[string]sized{
		"3-entries-11-targets":   {fleet{entries: 3, targets: 11, need: crowdSmall, clients: 12}, 1.9},
		"14-entries-77-targets":  {fleet{entries: 14, targets: 77, need: crowdSmall, clients: 56}, 1.9},
		"55-entries-240-targets": {fleet{entries: 55, targets: 240, need: crowdLarge, clients: 58}, 0.6},
	}
}

func TestManyEntriesDoNotMeetAtTheSameTargets(t *testing.T) {
	for name, c := range fleets() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for load, most := range map[float64]float64{halfLoad: halfStarts, fullLoad: fullStarts} {
				var starts, in, words float64
				for seed := range uint64(crowdSeeds) {
					w := newCrowd(seed, c.fleet)
					w.run(load*c.whole, crowdSpan)
					starts += w.startsATask() / crowdSeeds
					in += w.part() / crowdSeeds
					words += float64(w.words) / float64(c.fleet.entries) / crowdSpan.Seconds() / crowdSeeds
				}
				t.Logf("%.0f %% load: %.3f in time, %.3f starts a task, %.0f words an entry and second", 100*load, in, starts, words)
				require.Less(t, starts, most)
			}
		})
	}
}

// TestScarceRoomOfferedInTurnServesMore plays twice the load that the targets can do, against entries that are told at once.
func TestScarceRoomOfferedInTurnServesMore(t *testing.T) {
	const (
		flood = 2
		span  = 1500 * time.Millisecond
	)
	for name, c := range fleets() {
		if c.fleet.entries == 3 {
			continue // three entries hardly meet
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var in, starts [2]float64
			for seed := range uint64(2) {
				for i, atOnce := range []bool{false, true} {
					f := c.fleet
					f.atOnce = atOnce
					w := newCrowd(seed, f)
					w.run(flood*c.whole, span)
					in[i] += float64(w.inTime)
					starts[i] += w.startsATask()
				}
			}
			t.Logf("in turn: %.0f jobs in time, %.2f starts a task; at once: %.0f, %.2f", in[0], starts[0]/2, in[1], starts[1]/2)
			require.Greater(t, in[0], in[1])
			require.Less(t, starts[0], starts[1]/2)
		})
	}
}
