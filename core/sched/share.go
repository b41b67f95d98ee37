package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareSpan is the time constant of the measured demand and use of the routes.
	shareSpan = time.Second
	// sharedFraction is the fraction of the capacity in use that is divided. Below 1, the largest route is above its share before
	// jobs of the others have to wait long.
	sharedFraction = 0.9
	// minDemand is the demand, in core-seconds, below which a route is no longer kept.
	minDemand = 1e-4
)

// decayingSum is a sum of which every part decays with a time constant; the zero value is 0.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) add(now time.Time, span time.Duration, amount float64) {
	d.sum = d.value(now, span) + amount
	d.at = now
}

func (d *decayingSum) value(now time.Time, span time.Duration) float64 {
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(span))
}

// shares measures what work each route asks for and gets, and decides which routes are above their share. The load pattern is a
// flood of one or all kinds of work: without shares every kind loses about the same part, also one that takes little.
type shares struct {
	demand map[string]*decayingSum // core-seconds of arriving jobs, by route
	used   decayingSum             // core-seconds of started tasks
	over   map[string]bool         // the routes above their share
	list   []routeDemand           // reused by update
}

type routeDemand struct {
	route string
	work  float64
}

func newShares() shares {
	return shares{demand: make(map[string]*decayingSum), over: make(map[string]bool)}
}

func (s *shares) arrived(now time.Time, route string, work float64) {
	d := s.demand[route]
	if d == nil {
		d = &decayingSum{}
		s.demand[route] = d
	}
	d.add(now, shareSpan, work)
}

func (s *shares) started(now time.Time, work float64) { s.used.add(now, shareSpan, work) }

// update works out the routes above their share: the capacity in use is divided so that no route gets less than another that asks
// for more.
func (s *shares) update(now time.Time) {
	s.list = s.list[:0]
	for route, d := range s.demand {
		work := d.value(now, shareSpan)
		if work < minDemand {
			delete(s.demand, route)
			continue
		}
		s.list = append(s.list, routeDemand{route, work})
	}
	slices.SortFunc(s.list, func(a, b routeDemand) int {
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.route, b.route))
	})
	clear(s.over)
	left := sharedFraction * s.used.value(now, shareSpan)
	for i, d := range s.list {
		share := left / float64(len(s.list)-i)
		s.over[d.route] = d.work > share
		left -= min(share, d.work)
	}
}

// taskWork returns the expected work of one task in core-seconds.
func (j *job) taskWork() float64 {
	const milli = 1000
	return j.expected.Seconds() * float64(j.batch.Millicores) / milli
}
