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
	"persimmonstage/core/jobend"
	"persimmonstage/core/offer"
	"persimmonstage/core/route"
	"persimmonstage/core/subset"
)

// fleetSize is the size of a simulated fleet of several entries.
type fleetSize struct {
	entries, targets int
	taskMillicores   uint64        // CPU per task
	clients          int           // connections of callers, each to a random entry
	atOnce           bool          // targets offer scarce room to all entries at once
	silent           bool          // no demand is reported
	reportAge        time.Duration // of reports of demand beyond the network's delay
}

// contentionSim simulates several entries that share the same targets; an entry learns of the others' tasks only from the
// targets' delayed state updates.
type contentionSim struct {
	fleet     fleetSize
	rng       *rand.Rand
	now       time.Time
	entries   []*contendingEntry
	clients   []*contendingEntry
	targets   []*contendedTarget
	startTime time.Time
	scheduled map[time.Duration][]func() // by the simulation step at which they are due
	starts    int
	updates   int // state updates sent to entries
	inTime    int
	jobs      int
	tasks     int
	ended     func(e *contendingEntry, kind string, end jobend.Outcome) // may be nil
}

type contendingEntry struct {
	sim   *contentionSim
	name  string
	sched *Sched
}

type contendedTarget struct {
	name           string
	taskMillicores uint64
	pace           float64
	used           uint64
	seen           map[*contendingEntry]uint64
	reported       map[*contendingEntry]TargetState
	entries        []*contendingEntry // to which it is offered
	offer          *offer.Offer
	waiting        []*contendedOrder
	changedAt      time.Time // time of the first unreported change; zero if there is none
}

const (
	networkDelay        = 2 * time.Millisecond  // between an entry and a target, one way
	scarceInterval      = 5 * time.Millisecond  // between two state updates of a target with scarce room
	ampleInterval       = 30 * time.Millisecond // and of a target with ample room
	scarceSlots         = 3                     // room for fewer tasks counts as scarce
	maxOrderWait        = 10 * time.Millisecond // after which an order that waits for room is refused
	contentionSpan      = 3 * time.Second
	contentionSeeds     = 6
	targetMillicores    = 72_000
	smallTaskMillicores = 5_200  // a target has room for 13
	largeTaskMillicores = 15_000 // a target has room for 4
)

func (e *contendingEntry) JobClaimed(string, time.Time) {}

func (e *contendingEntry) JobStarted(time.Duration)                                {}
func (e *contendingEntry) JobAccepted(*JobArrival)                                 {}
func (e *contendingEntry) AttemptEnded(string, int, string, string, time.Duration) {}

func (e *contendingEntry) AttemptOutlasted(string, int, string, string, time.Duration) {}
func (e *contendingEntry) TaskMoved(_, _ string, _ int64)                              {}
func (e *contendingEntry) RouteConfined(string, bool, []string)                        {}

func (e *contendingEntry) JobEnded(*JobSummary) {}
func (e *contendingEntry) Stop(string, uint64)  {}

func (e *contendingEntry) Start(name string, s *Start) {
	c := e.sim
	c.starts++
	t := c.targets[slices.IndexFunc(c.targets, func(t *contendedTarget) bool { return t.name == name })]
	c.schedule(networkDelay, func() { t.order(&contendedOrder{entry: e, start: s}) })
}

// contendedOrder is an order received by a target.
type contendedOrder struct {
	entry *contendingEntry
	start *Start
}

// order starts a task, queues it until there is room, or refuses it, as agents do.
func (t *contendedTarget) order(o *contendedOrder) {
	c := o.entry.sim
	t.seen[o.entry] = max(t.seen[o.entry], o.start.Attempt)
	t.offer.RecordOrder(c.now, o.entry.name)
	t.markChanged(c.now)
	switch {
	case t.used+o.start.Millicores <= targetMillicores && len(t.waiting) == 0:
		t.run(o)
	case len(t.waiting) == 0:
		t.waiting = append(t.waiting, o)
		c.schedule(maxOrderWait, func() { t.expire(o) })
	default:
		t.refuse(o)
	}
}

// markChanged records that the state has to be reported.
func (t *contendedTarget) markChanged(now time.Time) {
	if t.changedAt.IsZero() {
		t.changedAt = now
	}
}

func (t *contendedTarget) refuse(o *contendedOrder) {
	t.end(o, EndNoRoom)
}

// expire refuses an order that is still waiting.
func (t *contendedTarget) expire(o *contendedOrder) {
	if i := slices.Index(t.waiting, o); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		t.refuse(o)
	}
}

func (t *contendedTarget) run(o *contendedOrder) {
	c := o.entry.sim
	t.used += o.start.Millicores
	took := time.Duration(t.pace * float64(o.start.ExpectedMS) * float64(time.Millisecond) * math.Exp(0.3*c.rng.NormFloat64()))
	c.schedule(took, func() {
		t.used -= o.start.Millicores
		t.markChanged(c.now)
		for len(t.waiting) > 0 && t.used+t.waiting[0].start.Millicores <= targetMillicores {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.run(next)
		}
		t.end(o, EndDone)
	})
}

// end reports an order's end to its entry, together with the state.
func (t *contendedTarget) end(o *contendedOrder, how string) {
	e := o.entry
	c := e.sim
	state := t.state(e)
	t.reported[e] = state
	c.schedule(networkDelay, func() {
		e.sched.UpdateTarget(c.now, t.name, state)
		e.sched.Ended(c.now, t.name, o.start.Attempt, how)
	})
}

func (t *contendedTarget) state(e *contendingEntry) TargetState {
	return TargetState{
		Service: "s", Millicores: targetMillicores, MemoryMB: 100_000, UsedMillicores: t.committed(), Usable: true, Pace: t.pace, Seen: t.seen[e],
	}
}

// slots returns how many more tasks fit.
func (t *contendedTarget) slots() int {
	return int((targetMillicores - min(targetMillicores, t.committed())) / t.taskMillicores)
}

// committed returns the CPU of running and waiting orders.
func (t *contendedTarget) committed() uint64 {
	used := t.used
	for _, o := range t.waiting {
		used += o.start.Millicores
	}
	return used
}

func (c *contentionSim) schedule(d time.Duration, do func()) {
	at := c.now.Add(d + simStep - 1).Sub(c.startTime).Truncate(simStep)
	c.scheduled[at] = append(c.scheduled[at], do)
}

func newContentionSim(seed uint64, f fleetSize) *contentionSim {
	c := &contentionSim{fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), scheduled: map[time.Duration][]func(){}}
	c.startTime = c.now
	for i := range f.entries {
		e := &contendingEntry{sim: c, name: fmt.Sprint("e", i)}
		e.sched = New(e, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		c.entries = append(c.entries, e)
	}
	for i := range f.targets {
		t := &contendedTarget{name: fmt.Sprint("t", i), taskMillicores: f.taskMillicores, pace: 1.2, seen: map[*contendingEntry]uint64{}, reported: map[*contendingEntry]TargetState{}, offer: offer.New(c.rng)}
		if i%4 == 0 {
			t.pace = 0.55
		}
		t.entries = c.subset(t)
		for _, e := range t.entries {
			e.sched.Join(c.now, t.name, "1", "z", t.state(e))
		}
		c.targets = append(c.targets, t)
	}
	for range f.clients {
		c.clients = append(c.clients, c.entries[c.rng.IntN(len(c.entries))])
	}
	return c
}

// subset returns the entries to which a target is offered.
func (c *contentionSim) subset(t *contendedTarget) []*contendingEntry {
	s := subset.New(t.name)
	for _, e := range c.entries {
		s.Add(e.name)
	}
	s.Choose(c.now)
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *contendingEntry) bool { return !s.Selected(e.name) })
}

// run simulates the usual mix of kinds for a time span, at a multiple of its usual rate per target.
func (c *contentionSim) run(load float64, span time.Duration) {
	kinds := usualKinds()
	for at := time.Duration(0); at < span; at += simStep {
		c.now = c.now.Add(simStep)
		for k := range kinds {
			if c.rng.Float64() < load*kinds[k].rate*simStep.Seconds()*float64(len(c.targets))/11 {
				c.submit(&kinds[k].route, kinds[k].tasks, kinds[k].work)
			}
		}
		due := c.now.Sub(c.startTime)
		for _, do := range c.scheduled[due] {
			do()
		}
		delete(c.scheduled, due)
		if !c.fleet.silent {
			c.heartbeats(at)
		}
		if at%scarceInterval == 0 {
			for _, t := range c.targets {
				c.report(t)
			}
		}
		if at%(10*time.Millisecond) == 0 {
			for _, e := range c.entries {
				e.sched.Tick(c.now)
			}
		}
	}
}

// report sends a changed state of a target to its entries, or continues with the offer of its room.
func (c *contentionSim) report(t *contendedTarget) {
	slots := t.slots()
	scarce := slots < scarceSlots
	switch {
	case t.changedAt.IsZero() && t.offer.Done(), !scarce && c.now.Sub(t.changedAt) < ampleInterval:
		return
	case !t.changedAt.IsZero():
		t.changedAt = time.Time{}
		t.offer.Restart(c.now, t.entryNames())
	}
	full := slots == 0
	if c.fleet.atOnce || !scarce || full {
		slots = len(t.entries)
	}
	t.offer.Extend(slots)
	for _, e := range t.entries {
		st := t.state(e)
		st.Held = full || scarce && !t.offer.Offered(e.name)
		reported := t.reported[e]
		if reported.Held != st.Held || !st.Held && reported.UsedMillicores != st.UsedMillicores {
			t.reported[e] = st
			c.updates++
			e.sched.UpdateTarget(c.now, t.name, st)
		}
	}
}

// entryNames returns the names of the entries to which a target is offered.
func (t *contendedTarget) entryNames() []string {
	var list []string
	for _, e := range t.entries {
		list = append(list, e.name)
	}
	return list
}

func (c *contentionSim) submit(r *route.Route, tasks float64, work time.Duration) {
	c.jobs++
	e := c.clients[c.rng.IntN(len(c.clients))]
	n := max(1, int(tasks*math.Exp(0.4*c.rng.NormFloat64())+0.5))
	c.tasks += n
	arrived := c.now
	declared := time.Duration(float64(work) * math.Exp(0.4*c.rng.NormFloat64()))
	e.sched.Submit(c.now, &batch.Batch{
		ID: fmt.Sprintf("%016x", c.jobs), Route: r, Tasks: n,
		Millicores: c.fleet.taskMillicores, MemoryMB: 64, Declared: declared, Deadline: c.now.Add(1490 * time.Millisecond),
	}, func(end jobend.Outcome) {
		if c.ended != nil {
			c.ended(e, r.Name, end)
		}
		if end.Kind != jobend.Done {
			return
		}
		if c.now.Sub(arrived) <= r.Objective(declared) {
			c.inTime++
		}
	})
}

// startsPerTask returns the number of attempts per task, including refused ones.
func (c *contentionSim) startsPerTask() float64 { return float64(c.starts) / float64(c.tasks) }

// inTimeFraction returns the fraction of the jobs that were served in time.
func (c *contentionSim) inTimeFraction() float64 { return float64(c.inTime) / float64(c.jobs) }

// Limits on the attempts per task at half load and close to full load: each attempt that is refused for lack of room costs a
// round trip and CPU time on both sides.
const (
	halfLoad          = 0.5
	maxStartsHalfLoad = 1.05
	fullLoad          = 0.95
	maxStartsFullLoad = 1.2
)

// fleets returns the fleet sizes to test, with the multiple of the usual rate that is the targets' full load.
func fleets() map[string]struct {
	fleet    fleetSize
	fullRate float64
} {
	type sized = struct {
		fleet    fleetSize
		fullRate float64
	}
	return map[string]sized{
		"3-entries-11-targets":   {fleetSize{entries: 3, targets: 11, taskMillicores: smallTaskMillicores, clients: 12}, 1.9},
		"14-entries-77-targets":  {fleetSize{entries: 14, targets: 77, taskMillicores: smallTaskMillicores, clients: 56}, 1.9},
		"55-entries-240-targets": {fleetSize{entries: 55, targets: 240, taskMillicores: largeTaskMillicores, clients: 58}, 0.6},
	}
}

func TestManyEntriesSpreadOverTheTargets(t *testing.T) {
	for name, c := range fleets() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for load, maxStarts := range map[float64]float64{halfLoad: maxStartsHalfLoad, fullLoad: maxStartsFullLoad} {
				var starts, inTime, updates float64
				for seed := range uint64(contentionSeeds) {
					w := newContentionSim(seed, c.fleet)
					w.run(load*c.fullRate, contentionSpan)
					starts += w.startsPerTask() / contentionSeeds
					inTime += w.inTimeFraction() / contentionSeeds
					updates += float64(w.updates) / float64(c.fleet.entries) / contentionSpan.Seconds() / contentionSeeds
				}
				t.Logf("%.0f %% load: %.3f in time, %.3f starts per task, %.0f updates per entry and second", 100*load, inTime, starts, updates)
				require.Less(t, starts, maxStarts)
			}
		})
	}
}

// TestStaggeredOffersOfScarceRoomServeMoreJobs compares, at twice the full load, offers of scarce room to a few entries at a time
// with offers to all entries at once, to which all entries respond together and most attempts are refused.
func TestStaggeredOffersOfScarceRoomServeMoreJobs(t *testing.T) {
	const (
		overload = 2
		span     = 1500 * time.Millisecond
	)
	for name, c := range fleets() {
		if c.fleet.entries == 3 {
			continue // three entries hardly compete for the same room
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var inTime, starts [2]float64
			for seed := range uint64(2) {
				for i, atOnce := range []bool{false, true} {
					f := c.fleet
					f.atOnce = atOnce
					w := newContentionSim(seed, f)
					w.run(overload*c.fullRate, span)
					inTime[i] += float64(w.inTime)
					starts[i] += w.startsPerTask()
				}
			}
			t.Logf("staggered: %.0f jobs in time, %.2f starts per task; at once: %.0f, %.2f", inTime[0], starts[0]/2, inTime[1], starts[1]/2)
			require.Greater(t, inTime[0], inTime[1])
			require.Less(t, starts[0], starts[1]/2)
		})
	}
}
