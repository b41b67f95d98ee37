package place

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonstage/core/target"
)

// rackShare is the most that a rack which has all of a job's tasks adds to the cost of a target, as a share of the run time.
const rackShare = 0.02

// crowdShare is what a target with room for just one more task adds to its cost, as a share of the run time: another entry
// may be about to fill it.
const crowdShare = 0.2

// query is one task that is looked for a target for.
type query struct {
	kind       int
	dataCentre string
	task       *Task
}

// candidate is a target with the parts of its expected completion.
type candidate struct {
	id   target.ID
	wait time.Duration
	run  time.Duration
	cost float64
}

// search keeps the best candidates of a sample of each group that could hold the task.
func (p *Placer) search(rng *rand.Rand, q *query) {
	for g := range p.roster.Groups() {
		if !p.roster.GroupHolds(g, q.task.Needs) {
			continue
		}
		room, full := p.roster.GroupRoom(g), p.roster.GroupFull(g)
		if room > 0 {
			p.sampleList(rng, q, g, room, p.roster.RoomAt)
		}
		if full > 0 {
			p.sampleList(rng, q, g, full, p.roster.FullAt)
		}
	}
}

// sampleList looks at a run of a list of n targets from a random place on.
func (p *Placer) sampleList(rng *rand.Rand, q *query, g, n int, at func(g, i int) target.ID) {
	i := 0
	if n > 1 {
		i = rng.IntN(n)
	}
	for range min(n, p.sample) {
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
	wait := p.roster.Wait(id, q.task.Needs)
	if wait == math.MaxInt64 {
		return candidate{}
	}
	run := p.speeds.Expect(id, q.kind, q.task.Declared)
	cost := float64(wait + run)
	if p.roster.GroupDataCentre(g) != q.dataCentre {
		cost += float64(p.roundTrip)
	}
	if wait == 0 {
		cost += crowdShare * float64(run) / float64(q.task.Needs.Times(p.roster.Free(id)))
	}
	if p.placed > 0 {
		cost += rackShare * float64(run) * p.rackLoad(id)
	}
	return candidate{id: id, wait: wait, run: run, cost: cost}
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
