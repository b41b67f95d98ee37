package stepped

import (
	"math/rand/v2"
	"strconv"
	"time"

	"persimmonstage/core/admit"
	"persimmonstage/core/agent"
	"persimmonstage/core/answer"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/ledger"
	"persimmonstage/core/mix"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/owner"
	"persimmonstage/core/place"
	"persimmonstage/core/rank"
	"persimmonstage/core/result"
	"persimmonstage/core/retry"
	"persimmonstage/core/roster"
	"persimmonstage/core/score"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
	"persimmonstage/core/task"
	"persimmonstage/core/timers"
)

const (
	fleetOwners       = 3
	fleetAgents       = 10
	fleetSlots        = 8
	oneWayDelay       = 500 * time.Microsecond
	heartbeatInterval = 500 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	targetThousandths = 1000
)

// fleet runs owners and agents on a simulated clock with the jobs of a mix; messages arrive after a fixed delay.
type fleet struct {
	now      time.Time
	events   timers.Timers[func()]
	entries  []*fleetEntry
	agents   []*fleetAgent
	work     map[jobkey.Key][]time.Duration
	score    *score.Score
	jobs     int
	starts   int
	refusals int
	open     int
}

// fleetEntry is an owner with its gate and its own view of the targets.
type fleetEntry struct {
	*fleet
	name   string
	core   *owner.Owner
	gate   *admit.Gate
	roster roster.Roster
	speeds speed.Table
	ids    map[string]target.ID
}

// fleetAgent is an agent with its target.
type fleetAgent struct {
	*fleet
	name string
	slow float64
	core *agent.Agent
}

func newFleet(seed uint64, slow float64) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), work: map[jobkey.Key][]time.Duration{}, score: &score.Score{}}
	for i := range fleetAgents {
		b := &fleetAgent{fleet: f, name: "agent-" + strconv.Itoa(i), slow: []float64{1, slow}[i%2]}
		b.core = agent.New(b, b, ledger.New(ledger.Config{Since: f.now}), needs.Vector{Slots: fleetSlots})
		f.agents = append(f.agents, b)
	}
	for i := range fleetOwners {
		e := &fleetEntry{fleet: f, name: "entry-" + strconv.Itoa(i), ids: map[string]target.ID{}}
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		p := place.New(place.Bounded, &e.roster, &e.speeds, 2*oneWayDelay)
		p.DelayLarge(true)
		e.gate = admit.New(rng)
		e.core = owner.New(e, p, &e.roster, &retry.Budget{}, e.gate, e, rng)
		for _, b := range f.agents {
			e.ids[b.name], _ = e.roster.Announce(b.name, b.name, "dc", b.name, needs.Vector{Slots: fleetSlots}, f.now)
		}
		f.entries = append(f.entries, e)
	}
	f.heartbeat()
	f.tick()
	return f
}

func (f *fleet) after(d time.Duration, do func()) { f.events.Add(f.now.Add(d), do) }

func (f *fleet) run(until time.Time) {
	for {
		next, ok := f.events.Next()
		if !ok || next.After(until) {
			break
		}
		do, _ := f.events.PopDue(next)
		f.now = next
		do()
	}
	f.now = until
}

func (f *fleet) heartbeat() {
	for _, b := range f.agents {
		for _, e := range f.entries {
			b.report(e)
		}
	}
	for _, e := range f.entries {
		own, others := e.roster.Work()
		part := (own + time.Second).Seconds() / (own + others + time.Second).Seconds()
		e.gate.SetBounds(fleetAgents*fleetSlots*64, 512<<20)
		e.gate.SetFleetRate(fleetAgents * max(part, 1.0/fleetOwners))
		e.gate.Expire(f.now)
	}
	f.after(heartbeatInterval, f.heartbeat)
}

func (f *fleet) tick() {
	for _, b := range f.agents {
		b.core.Tick(f.now)
	}
	for _, e := range f.entries {
		e.core.Tick(f.now)
	}
	f.after(tickInterval, f.tick)
}

// submitMix submits the jobs of a mix at their times; their ends are counted in the score.
func (f *fleet) submitMix(m *mix.Mix, until time.Time) {
	begun := f.now
	var next func(j mix.Job)
	next = func(j mix.Job) {
		due := begun.Add(j.At)
		if due.After(until) {
			return
		}
		f.events.Add(due, func() {
			f.submit(&j)
			next(m.Next())
		})
	}
	next(m.Next())
}

func (f *fleet) submit(from *mix.Job) {
	f.jobs++
	e := f.entries[f.jobs%fleetOwners]
	k := from.Kind
	j := &job.Job{
		Key: jobkey.Key{Team: k.Team, ID: strconv.Itoa(f.jobs)}, Kind: k.Name, DataCentre: "dc",
		Issued: f.now, Deadline: f.now.Add(k.Window), Tasks: make([]task.Task, len(from.Work)),
	}
	s := f.score
	end := score.JobResult{Team: k.Team, Kind: k.Name, Tasks: len(from.Work)}
	r := admit.Request{
		Team: k.Team, Kind: k.Name, Tasks: int64(len(from.Work)), Size: targetThousandths / fleetSlots,
		Issued: j.Issued, Deadline: j.Deadline, Run: e.speeds.Expect(0, e.speeds.Kind(k.Name), 0),
	}
	for i, w := range from.Work {
		end.Ideal = max(end.Ideal, w)
		j.Tasks[i].Needs = needs.Vector{Slots: 1}
	}
	ready, err := e.gate.Admit(r, f.now)
	if err != nil {
		end.Outcome = answer.Refused
		s.Add(&end)
		return
	}
	f.work[j.Key] = from.Work
	f.open++
	e.core.Submit(f.now, j, 0, 1, nil, true, &r, ready, func(a answer.Answer) {
		f.open--
		end.Outcome, end.Response = a.Outcome, f.now.Sub(j.Issued)
		s.Add(&end)
	})
}

func (b *fleetAgent) report(e *fleetEntry) {
	loads, at := b.core.LoadOfOthers(e.name), time.Duration(b.now.UnixNano())
	b.after(oneWayDelay, func() {
		id := e.ids[b.name]
		e.roster.Report(id, at, loads[0].Held, loads[0].Tasks, loads[0].Work, b.now)
		for c := rank.Class(1); c < rank.Classes; c++ {
			e.roster.ReportClass(id, at, c, loads[c].Held, loads[c].Tasks, loads[c].Work)
		}
	})
}

func (f *fleet) agentNamed(name string) *fleetAgent {
	n, _ := strconv.Atoi(name[len("agent-"):])
	return f.agents[n]
}

func (f *fleet) entryNamed(name string) *fleetEntry {
	n, _ := strconv.Atoi(name[len("entry-"):])
	return f.entries[n]
}

func (e *fleetEntry) Start(agent string, o *order.Order) {
	e.after(oneWayDelay, func() { b := e.agentNamed(agent); b.core.Order(e.now, e.name, o) })
}

func (e *fleetEntry) Reserve(agent string, o *order.Order) {
	e.after(oneWayDelay, func() { e.agentNamed(agent).core.Reserve(e.now, e.name, o) })
}

func (e *fleetEntry) Withdraw(agent string, ids []uint64) {
	e.after(oneWayDelay, func() { e.agentNamed(agent).core.Withdraw(e.now, e.name, ids) })
}

func (*fleetEntry) Query(string, []uint64) {}

func (*fleetEntry) Repeat(string, int, jobkey.Key, int) {}

func (*fleetEntry) Holds(int) bool { return true }

func (e *fleetEntry) StartEnded(_ time.Time, id target.ID, kind string, _, ran time.Duration, _ bool) {
	e.speeds.Learn(id, kind, 0, ran)
	e.roster.SetSpeedFactor(id, e.speeds.Factor(id))
}

func (*fleetEntry) StartSent(target.ID, time.Duration) {}

func (*fleetEntry) StartDropped(target.ID) {}

func (*fleetEntry) JobEnded(time.Time, jobkey.Key, string, int, time.Time, time.Time, time.Duration, *answer.Answer) {
}

// Admit is the fence, which admits every start: owners don't change here.
func (*fleetAgent) Admit(time.Time, int, uint64, string) error { return nil }

func (b *fleetAgent) Run(o *order.Order) {
	b.starts++
	ran := time.Duration(float64(b.work[o.Key][o.Index]) * b.slow)
	b.after(ran, func() { b.core.Ended(b.now, &result.Result{Key: o.Key, Index: o.Index, OK: true, Ran: ran}) })
}

func (b *fleetAgent) Grant(owner string, attempt uint64) {
	b.after(oneWayDelay, func() { b.entryNamed(owner).core.Granted(b.now, b.name, attempt) })
}

func (b *fleetAgent) Refuse(owner string, attempt uint64, reason string) {
	b.refusals++
	e := b.entryNamed(owner)
	b.report(e)
	b.after(oneWayDelay, func() { e.core.Refused(b.now, attempt, reason) })
}

func (b *fleetAgent) End(owner string, _ int, r *result.Result) {
	b.after(oneWayDelay, func() { b.entryNamed(owner).core.Result(b.now, r) })
}
