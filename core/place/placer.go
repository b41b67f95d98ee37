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

// speeds estimates run times; the entry passes its table of measured ones.
type speeds interface {
	// Kind returns the number under which the run times of a kind are stored.
	Kind(name string) int
	// Expect returns the expected run time at a target.
	Expect(id target.ID, kind int, declared time.Duration) time.Duration
}

// Policy selects the placement algorithm.
type Policy int

// Placement policies.
const (
	// Bounded starts at the target with the earliest expected completion, with a bound on the wait there, beyond which the
	// agent refuses the task before it starts.
	Bounded Policy = iota
	// Random starts at a random target that could hold the task.
	Random
	// TwoChoices starts at the one of two random targets with the earlier expected completion.
	TwoChoices
	// Reservations reserves at two random targets and starts at the first that grants.
	Reservations
	// IdleFirst starts at the best target if that has room, else reserves at the two best.
	IdleFirst
	// Soonest is Bounded without the bound on the wait.
	Soonest
)

// LastAttempt is the Request.Attempt from which the choices have no bound on the wait.
const LastAttempt = 2

const (
	smallList       = 10 // longest list of a group that is searched completely
	defaultSample   = 4  // targets sampled from a longer list
	defaultReserves = 2  // reservations for a task

)

// Placer chooses targets for the tasks of jobs by expected completion: the wait at the target, the run time there, and the
// round trip if the target is in another data centre than the caller. It samples each group of the roster, so its cost
// doesn't grow with the number of targets. Each choice is booked at the roster at once, so that the next task takes it into
// account. The longest tasks of a job are placed first, as the job ends with its slowest task.
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
	teamWork   teamWork
	kept       int
}

// New returns a Placer for the targets of r with the run times of s; roundTrip is the time between data centres and back.
func New(p Policy, r *roster.Roster, s speeds, roundTrip time.Duration) *Placer {
	return &Placer{
		policy:    p,
		roster:    r,
		speeds:    s,
		roundTrip: roundTrip,
		sample:    defaultSample,
		reserves:  defaultReserves,
		racks:     map[string]int{},
		teamWork:  teamWork{},
	}
}

// Place appends a choice for each task of a job to out, in the order of the tasks. Each choice that doesn't wait is booked at
// the roster; the caller ends the booking there with the choice's Class and Work and the task's needs.
func (p *Placer) Place(now time.Time, rng *rand.Rand, req *Request, out []Choice) []Choice {
	from := len(out)
	out = slices.Grow(out, len(req.Tasks))[:from+len(req.Tasks)]
	clear(p.racks)
	p.placed = 0
	kind := p.speeds.Kind(req.Kind)
	delay := p.delay(now, kind, req)
	for _, i := range p.longestFirst(req.Tasks) {
		out[from+i] = p.placeOne(rng, req, kind, delay, &req.Tasks[i])
	}
	return out
}

// longestFirst returns the indexes of the tasks, those with the longest declared run time first.
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

// placeOne chooses a target for one task and books the task there.
func (p *Placer) placeOne(rng *rand.Rand, req *Request, kind int, delay time.Duration, t *Task) Choice {
	q := query{kind: kind, class: rank.Of(delay), dataCentre: req.DataCentre, req: req, avoid: req.Avoid, task: t}
	p.kept = 0
	switch p.policy {
	case Random:
		p.sampleRandom(rng, &q, 1)
	case TwoChoices:
		p.sampleRandom(rng, &q, 2)
	case Reservations:
		p.sampleRandom(rng, &q, p.reserves)
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
	return p.book(req, delay, t)
}

// book books the task at the best candidate and returns the choice.
func (p *Placer) book(req *Request, delay time.Duration, t *Task) Choice {
	first := &p.best[0]
	c := Choice{id: first.id, work: first.run, wait: first.wait, delay: delay, maxWait: p.maxWait(req.Attempt, rank.Of(delay))}
	if p.shouldReserve(first) {
		for _, other := range p.best[:min(p.kept, p.reserves)] {
			c.reserved[c.reserves] = other.id
			c.reserves++
		}
	}
	p.roster.SentClass(first.id, c.Class(), t.Needs, first.run)
	p.Sent(req.Team, first.id, c.Class(), first.run)
	if len(req.Tasks) > 1 {
		p.racks[p.roster.Rack(first.id)]++
		p.placed++
	}
	return c
}

// shouldReserve reports whether a task whose best candidate is first gets reservations instead of a start.
func (p *Placer) shouldReserve(first *candidate) bool {
	switch p.policy {
	case Reservations:
		return true
	case IdleFirst:
		return first.wait > 0
	}
	return false
}

// maxWait returns the wait at the best candidate beyond which a refusal and another placement are expected to be faster.
// At a backlogged target the entry can't estimate when a task of this share starts, so the bound is the smallest that is
// worth a refusal.
func (p *Placer) maxWait(attempt int, class rank.Class) time.Duration {
	if p.policy != Bounded || class > 0 || attempt >= LastAttempt || p.kept < 2 {
		return math.MaxInt64
	}
	first, second := &p.best[0], &p.best[1]
	if first.backlogged {
		return 2*p.roundTrip + first.run/2
	}
	gain := time.Duration(second.cost - first.cost)
	return first.wait + gain + 2*p.roundTrip + first.run + first.wait/2
}
