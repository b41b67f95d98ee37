package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonstage/core/demand"
)

const (
	// shareSpan is the time constant of the measured demand and use of the routes.
	shareSpan = time.Second
	// sharedFraction is the fraction of the capacity in use that is divided. Below 1, the largest route is above its share before
	// jobs of the others have to wait long.
	sharedFraction = 0.9
	// maxRejected bounds the ratio of the work of all attempts to that of those that found room.
	maxRejected = 2
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
	demand map[string]*routeSum // by route
	used   decayingSum          // core-seconds of sent tasks, also of those that their target had no room for
	sum    demand.Demand        // reused by own
	over   map[string]bool      // the routes above their share
	list   []routeDemand        // reused by update
}

// routeSum is the work of a route, in core-seconds.
type routeSum struct {
	arrived decayingSum // of jobs
	started decayingSum // of tasks
	hash    uint32      // identifies the route in reports
}

func (r *routeSum) work(now time.Time) demand.Work {
	return demand.Work{Arrived: r.arrived.value(now, shareSpan), Started: max(0, r.started.value(now, shareSpan))}
}

type routeDemand struct {
	route string
	work  float64
}

func newShares() shares {
	return shares{demand: make(map[string]*routeSum), over: make(map[string]bool)}
}

func (s *shares) arrived(now time.Time, route string, work float64) {
	d := s.demand[route]
	if d == nil {
		d = &routeSum{hash: routeHash(route)}
		s.demand[route] = d
	}
	d.arrived.add(now, shareSpan, work)
}

func (s *shares) started(now time.Time, route string, work float64) {
	s.used.add(now, shareSpan, work)
	s.addStarted(now, route, work)
}

func (s *shares) addStarted(now time.Time, route string, work float64) {
	if d := s.demand[route]; d != nil {
		d.started.add(now, shareSpan, work)
	}
}

// rejected takes back the work of a task that its target had no room for.
func (s *shares) rejected(now time.Time, route string, work float64) { s.addStarted(now, route, -work) }

// own returns the work at this entry; the next call overwrites it.
func (s *shares) own(now time.Time) *demand.Demand {
	s.sum.Reset()
	for _, d := range s.demand {
		s.sum.AddRoute(d.hash, d.work(now))
	}
	return &s.sum
}

// update works out the routes above their share: the capacity in use is divided so that no route gets less than another that asks
// for more. If agents report the demand at all entries, it is divided among that, so that all entries find the same routes.
func (s *shares) update(now time.Time, f *fleet) {
	s.list = s.list[:0]
	used, started := s.used.value(now, shareSpan), 0.0
	for route, d := range s.demand {
		w := d.work(now)
		if w.Arrived < minDemand {
			delete(s.demand, route)
			continue
		}
		started += w.Started
		if f.known() {
			w = f.sum.Routes[d.hash]
		}
		s.list = append(s.list, routeDemand{route, w.Arrived})
	}
	if f.known() {
		// Attempts that had no room are in used and taken back in started, which may leave little of it.
		used = f.sum.All.Started * min(maxRejected, max(1, used/max(minDemand, started)))
		s.addOthers(f)
	}
	slices.SortFunc(s.list, func(a, b routeDemand) int {
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.route, b.route))
	})
	clear(s.over)
	left := sharedFraction * used
	for i, d := range s.list {
		share := left / float64(len(s.list)-i)
		s.over[d.route] = d.work > share
		left -= min(share, d.work)
	}
}

// addOthers adds the routes that only other entries are asked for, as one route each without a name.
func (s *shares) addOthers(f *fleet) {
	for hash, w := range f.sum.Routes {
		if !slices.ContainsFunc(s.list, func(d routeDemand) bool { return s.demand[d.route] != nil && s.demand[d.route].hash == hash }) {
			s.list = append(s.list, routeDemand{work: w.Arrived})
		}
	}
}

// taskWork returns the expected work of one task in core-seconds.
func (j *job) taskWork() float64 {
	const milli = 1000
	return j.expected.Seconds() * float64(j.batch.Millicores) / milli
}
