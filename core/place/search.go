package place

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// rackShare is the extra cost of a target whose rack has all of the job's tasks so far, as a share of the run time.
const rackShare = 0.02

// lastSlotShare is the extra cost of a target with room for only one more task, as a share of the run time: another entry may
// be about to fill it.
const lastSlotShare = 0.2

const (
	fastestInStep      = 0.88 // run time at the fastest target of a speed step, relative to the step's
	decisiveCandidates = 2    // candidates that a choice depends on: the best, and the second for the bound on the wait
)

// query is the search for a target for one task.
type query struct {
	kind       int
	class      rank.Class
	dataCentre string
	req        *Request
	avoid      target.ID
	task       *Task
	meanRun    float64 // expected run time at a target of mean speed
}

// candidate is a target with its expected wait, run time and cost.
type candidate struct {
	id         target.ID
	wait       time.Duration
	run        time.Duration
	cost       float64
	backlogged bool
}

// search keeps the best candidates of a sample of the groups that could hold the task: first among targets with room, then
// among those without in groups that may be faster than the best so far. Groups are visited in order of speed, so the search
// ends at the first group whose fastest target would complete later than the kept candidates.
func (p *Placer) search(rng *rand.Rand, q *query) {
	q.meanRun = float64(p.speeds.Expect(0, q.kind, q.task.Declared))
	for i := range p.roster.Groups() {
		g := p.roster.GroupBySpeed(i)
		if p.tooCostly(fastestInStep * q.meanRun * p.roster.GroupFactor(g)) {
			break
		}
		if n := p.roster.GroupRoom(g); n > 0 && p.worthSampling(q, g, fastestInStep) {
			p.sampleList(rng, q, g, n, p.roster.RoomAt)
		}
	}
	for i := range p.roster.Groups() {
		g := p.roster.GroupBySpeed(i)
		if p.tooCostly(q.meanRun * p.roster.GroupFactor(g)) {
			break
		}
		if n := p.roster.GroupFull(g); n > 0 && p.worthSampling(q, g, 1) {
			p.sampleList(rng, q, g, n, p.roster.FullAt)
		}
	}
}

// worthSampling reports whether a group could hold the task and have a better target than those kept; edge is the run time at
// its fastest target relative to the group's.
func (p *Placer) worthSampling(q *query, g int, edge float64) bool {
	cost := edge * q.meanRun * p.roster.GroupFactor(g)
	if p.roster.GroupDataCentre(g) != q.dataCentre {
		cost += float64(p.roundTrip)
	}
	return !p.tooCostly(cost) && p.roster.GroupHolds(g, q.task.Needs)
}

// tooCostly reports whether a candidate of a cost wouldn't be among the two best.
func (p *Placer) tooCostly(cost float64) bool {
	return p.kept >= decisiveCandidates && cost >= p.best[decisiveCandidates-1].cost
}

// sampleList evaluates all n targets of a short list, and some successive ones from a random index on of a longer list.
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
		p.keep(p.evaluate(q, g, at(g, i)))
		i++
		if i == n {
			i = 0
		}
	}
}

// sampleRandom evaluates n random targets of the groups that could hold the task.
func (p *Placer) sampleRandom(rng *rand.Rand, q *query, n int) {
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
		p.keep(p.evaluate(q, g, id))
	}
}

// nth returns the n-th target of the groups that could hold the task.
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

// evaluate returns the candidate for a target, with its expected completion as cost, or none if it can't get the task.
func (p *Placer) evaluate(q *query, g int, id target.ID) candidate {
	wait := p.roster.Wait(id, q.task.Needs, q.class)
	if wait == math.MaxInt64 || id == q.avoid {
		return candidate{}
	}
	backlogged := q.req.TeamFraction > 0 && q.req.TeamFraction < 1 && p.backlogged(q, id)
	if backlogged {
		wait = p.teamWait(q, id)
	}
	run := p.speeds.Expect(id, q.kind, q.task.Declared)
	cost := float64(wait + run)
	if p.roster.GroupDataCentre(g) != q.dataCentre {
		cost += float64(p.roundTrip)
	}
	if wait == 0 {
		cost += lastSlotShare * float64(run) / float64(max(1, q.task.Needs.FitCount(p.roster.Free(id))))
	}
	if p.placed > 0 {
		cost += rackShare * float64(run) * p.rackLoad(id)
	}
	return candidate{id: id, wait: wait, run: run, cost: cost, backlogged: backlogged}
}

// rackLoad returns the share of the job's tasks placed so far that are in the same rack as a target.
func (p *Placer) rackLoad(id target.ID) float64 {
	return float64(p.racks[p.roster.Rack(id)]) / float64(p.placed)
}

// keep inserts a candidate into the list of the best, in order of cost.
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
