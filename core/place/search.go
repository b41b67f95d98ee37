package place

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// rackShare is the most that a rack which has all of a job's tasks adds to the cost of a target, as a share of the run time.
const rackShare = 0.02

// crowdShare is what a target with room for just one more task adds to its cost, as a share of the run time: another entry
// may be about to fill it.
const crowdShare = 0.2

const (
	stepEdge = 0.88 // run time of the fastest target of a step of speed, as a share of the step's
	deciding = 2    // candidates that a choice depends on: the best, and what is lost without it
)

// query is one task that is looked for a target for.
type query struct {
	kind       int
	class      rank.Class
	dataCentre string
	ask        *Request
	avoid      target.ID
	task       *Task
	mean       float64 // run time at a target of mean speed
}

// candidate is a target with the parts of its expected completion.
type candidate struct {
	id      target.ID
	wait    time.Duration
	run     time.Duration
	cost    float64
	crowded bool
}

// search keeps the best candidates of a sample of the groups that could hold the task: first of the targets with room, then
// of those without it in groups that are faster than the best so far. Groups come in the order of speed, so the search
// ends where even the fastest target of a group would be later than what is kept.
func (p *Placer) search(rng *rand.Rand, q *query) {
	q.mean = float64(p.speeds.Expect(0, q.kind, q.task.Declared))
	for i := range p.roster.Groups() {
		g := p.roster.GroupBySpeed(i)
		if p.later(stepEdge * q.mean * p.roster.GroupFactor(g)) {
			break
		}
		if n := p.roster.GroupRoom(g); n > 0 && p.worth(q, g, stepEdge) {
			p.sampleList(rng, q, g, n, p.roster.RoomAt)
		}
	}
	for i := range p.roster.Groups() {
		g := p.roster.GroupBySpeed(i)
		if p.later(q.mean * p.roster.GroupFactor(g)) {
			break
		}
		if n := p.roster.GroupFull(g); n > 0 && p.worth(q, g, 1) {
			p.sampleList(rng, q, g, n, p.roster.FullAt)
		}
	}
}

// worth reports whether a group could hold the task and have a better target than those kept, edge being the part of the
// group's run time that its fastest target needs.
func (p *Placer) worth(q *query, g int, edge float64) bool {
	cost := edge * q.mean * p.roster.GroupFactor(g)
	if p.roster.GroupDataCentre(g) != q.dataCentre {
		cost += float64(p.roundTrip)
	}
	return !p.later(cost) && p.roster.GroupHolds(g, q.task.Needs)
}

// later reports whether a candidate of a cost wouldn't be among the two that decide.
func (p *Placer) later(cost float64) bool {
	return p.kept >= deciding && cost >= p.best[deciding-1].cost
}

// sampleList looks at a short list of n targets whole, and of a longer one at a run from a random place on.
func (p *Placer) sampleList(rng *rand.Rand, q *query, g, n int, at func(g, i int) target.ID) {
	i := 0
	if n > 1 {
		i = rng.IntN(n)
	}
	looks := n
	if n > smallList {
		looks = p.sample
	}
	for range looks {
		p.keep(p.weigh(q, g, at(g, i)))
		i++
		if i == n {
			i = 0
		}
	}
}

// anyOf keeps n random targets of those that could hold the task.
func (p *Placer) anyOf(rng *rand.Rand, q *query, n int) {
	total := 0
	for g := range p.roster.Groups() {
		if p.roster.GroupHolds(g, q.task.Needs) {
			total += p.roster.GroupRoom(g) + p.roster.GroupFull(g)
		}
	}
	if total == 0 {
		return
	}
	for range n {
		g, id := p.nth(q, rng.IntN(total))
		p.keep(p.weigh(q, g, id))
	}
}

// nth returns the n-th target of those in groups that could hold the task.
func (p *Placer) nth(q *query, n int) (int, target.ID) {
	for g := range p.roster.Groups() {
		if !p.roster.GroupHolds(g, q.task.Needs) {
			continue
		}
		if n < p.roster.GroupRoom(g) {
			return g, p.roster.RoomAt(g, n)
		}
		n -= p.roster.GroupRoom(g)
		if n < p.roster.GroupFull(g) {
			return g, p.roster.FullAt(g, n)
		}
		n -= p.roster.GroupFull(g)
	}
	return 0, 0
}

// weigh returns the candidate of a target, with its expected completion as cost.
func (p *Placer) weigh(q *query, g int, id target.ID) candidate {
	wait := p.roster.Wait(id, q.task.Needs, q.class)
	if wait == math.MaxInt64 || id == q.avoid {
		return candidate{}
	}
	crowded := q.ask.TeamFraction > 0 && q.ask.TeamFraction < 1 && p.crowded(q, id)
	if crowded {
		wait = p.shareWait(q, id)
	}
	run := p.speeds.Expect(id, q.kind, q.task.Declared)
	cost := float64(wait + run)
	if p.roster.GroupDataCentre(g) != q.dataCentre {
		cost += float64(p.roundTrip)
	}
	if wait == 0 {
		cost += crowdShare * float64(run) / float64(max(1, q.task.Needs.FitCount(p.roster.Free(id))))
	}
	if p.placed > 0 {
		cost += rackShare * float64(run) * p.rackLoad(id)
	}
	return candidate{id: id, wait: wait, run: run, cost: cost, crowded: crowded}
}

// rackLoad returns the share of the job's tasks placed so far that are in the rack of a target.
func (p *Placer) rackLoad(id target.ID) float64 {
	return float64(p.racks[p.roster.Rack(id)]) / float64(p.placed)
}

// keep enters a candidate among the best, in the order of cost.
func (p *Placer) keep(c candidate) {
	if c.id == 0 {
		return
	}
	for _, b := range p.best[:p.kept] {
		if b.id == c.id {
			return
		}
	}
	at := p.kept
	for at > 0 && p.best[at-1].cost > c.cost {
		at--
	}
	if at == maxReserve {
		return
	}
	p.kept = min(p.kept+1, maxReserve)
	copy(p.best[at+1:p.kept], p.best[at:p.kept-1])
	p.best[at] = c
}
