package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstage/core/rank"
	"persimmonstage/core/roster"
	"persimmonstage/core/target"
)

// speeds estimates run times; the entry gives its table of learned ones.
type speeds interface {
	// Kind returns the number under which run times of a kind are kept.
	Kind(name string) int
	// Expect returns the expected run time at a target.
	Expect(id target.ID, kind int, declared time.Duration) time.Duration
}

// Policy is a way to place.
type Policy int

// The ways to place that can be compared.
const (
	// Bounded starts at the target of the soonest expected completion, with a bound on the wait there, past which the agent
	// refuses the task before its start.
	Bounded Policy = iota
	// Random starts at any target that could hold the task.
	Random
	// TwoChoices starts at the better of two random targets by expected completion.
	TwoChoices
	// Reservations reserves at two random targets and starts where the first grant comes from.
	Reservations
	// IdleFirst starts at the best target if it is known to have room, else reserves at the two best.
	IdleFirst
	// Soonest is Bounded without the bound.
	Soonest
)

// LastAttempt is the attempt of an Ask whose choices have no bound on the wait.
const LastAttempt = 2

const (
	smallList       = 10 // targets of a group that are all looked at
	defaultSample   = 4  // targets looked at in a longer list
	defaultReserves = 2  // reservations for a task

)

// Placer chooses targets for the tasks of jobs by expected completion: the wait at the target, the run time there, and
// the round trip if the target is in another data centre than the caller. It looks at a sample of each group of the
// roster, so its cost doesn't grow with the number of targets. What it chooses it books at the roster at once, so that
// the next task sees it. The longest tasks of a job are placed first, as the answer waits for the slowest.
// A Placer belongs to one goroutine.
type Placer struct {
	policy     Policy
	roster     *roster.Roster
	speeds     speeds
	roundTrip  time.Duration
	delayLarge bool
	sample     int
	reserves   int
	order      []int
	racks      map[string]int // tasks of the present job, by rack
	placed     int            // tasks of the present job
	best       [maxReserve]candidate
	teams      teams
	kept       int
}

// New returns a Placer over the targets of r and the run times of s; roundTrip is that between data centres.
func New(p Policy, r *roster.Roster, s speeds, roundTrip time.Duration) *Placer {
	return &Placer{
		policy:    p,
		roster:    r,
		speeds:    s,
		roundTrip: roundTrip,
		sample:    defaultSample,
		reserves:  defaultReserves,
		racks:     map[string]int{},
		teams:     teams{},
	}
}

// Place chooses for each task of a job, in the order of the tasks, and appends the choices to out. Each choice that
// doesn't wait is booked at the roster: whoever called ends it there with the choice's Class and Work and the
// task's needs.
func (p *Placer) Place(now time.Time, rng *rand.Rand, ask *Request, out []Choice) []Choice {
	from := len(out)
	out = slices.Grow(out, len(ask.Tasks))[:from+len(ask.Tasks)]
	clear(p.racks)
	p.placed = 0
	kind := p.speeds.Kind(ask.Kind)
	delay := p.delay(now, kind, ask)
	for _, i := range p.longestFirst(ask.Tasks) {
		out[from+i] = p.one(rng, ask, kind, delay, &ask.Tasks[i])
	}
	return out
}

// longestFirst returns the indexes of the tasks, the longest declared first.
func (p *Placer) longestFirst(tasks []Task) []int {
	p.order = p.order[:0]
	for i := range tasks {
		p.order = append(p.order, i)
	}
	if len(tasks) > 1 {
		slices.SortStableFunc(p.order, func(a, b int) int {
			return int(tasks[b].Declared - tasks[a].Declared)
		})
	}
	return p.order
}

// one chooses for one task and books it.
func (p *Placer) one(rng *rand.Rand, ask *Request, kind int, delay time.Duration, t *Task) Choice {
	q := query{kind: kind, class: rank.Of(delay), dataCentre: ask.DataCentre, ask: ask, avoid: ask.Avoid, task: t}
	p.kept = 0
	switch p.policy {
	case Random:
		p.anyOf(rng, &q, 1)
	case TwoChoices:
		p.anyOf(rng, &q, 2)
	case Reservations:
		p.anyOf(rng, &q, p.reserves)
	default:
		p.search(rng, &q)
		if p.kept == 0 && q.avoid != 0 {
			q.avoid = 0
			p.search(rng, &q)
		}
	}
	if p.kept == 0 {
		return Choice{}
	}
	return p.book(ask, delay, t)
}

// book books the best candidate and returns the choice of it.
func (p *Placer) book(ask *Request, delay time.Duration, t *Task) Choice {
	first := &p.best[0]
	c := Choice{id: first.id, work: first.run, wait: first.wait, delay: delay, maxWait: p.maxWait(ask.Attempt, rank.Of(delay))}
	if p.reserving(first) {
		for _, other := range p.best[:min(p.kept, p.reserves)] {
			c.reserved[c.reserves] = other.id
			c.reserves++
		}
	}
	p.roster.SentClass(first.id, c.Class(), t.Needs, first.run)
	p.Sent(ask.Team, first.id, c.Class(), first.run)
	if len(ask.Tasks) > 1 {
		p.racks[p.roster.Rack(first.id)]++
		p.placed++
	}
	return c
}

// reserving reports whether a task whose best candidate is first gets reservations in place of a start.
func (p *Placer) reserving(first *candidate) bool {
	switch p.policy {
	case Reservations:
		return true
	case IdleFirst:
		return first.wait > 0
	}
	return false
}

// maxWait returns for how long a task should wait at the best candidate before it is worth a refusal and another placement.
// At a crowded target only the agent knows when a task of this share can start, so the bound is the least that makes up for a
// refusal.
func (p *Placer) maxWait(attempt int, class rank.Class) time.Duration {
	if p.policy != Bounded || class > 0 || attempt >= LastAttempt || p.kept < 2 {
		return math.MaxInt64
	}
	first, second := &p.best[0], &p.best[1]
	if first.crowded {
		return 2*p.roundTrip + first.run/2
	}
	gain := time.Duration(second.cost - first.cost)
	return first.wait + gain + 2*p.roundTrip + first.run + first.wait/2
}
