package demand

import "time"

// TTL is how long a report counts: longer than the time between two heartbeats of an idle connection.
const TTL = 300 * time.Millisecond

// Work is recent work in core-seconds, as decaying sums; the zero value is none.
type Work struct {
	Arrived float64 // of jobs that callers handed in, refused ones included
	Started float64 // of tasks that were started
}

// Served returns the fraction of the arrived work that was started, 1 if none arrived.
func (w Work) Served() float64 {
	if w.Arrived <= 0 {
		return 1
	}
	return w.Started / w.Arrived
}

func (w Work) add(other Work) Work { return Work{w.Arrived + other.Arrived, w.Started + other.Started} }

// Demand is the work of an entry, or of several; the zero value is none.
type Demand struct {
	All    Work
	Routes map[uint32]Work // by the hash of the route's name
}

// Reset removes all work.
func (d *Demand) Reset() {
	d.All = Work{}
	clear(d.Routes)
}

// AddRoute adds the work of a route.
func (d *Demand) AddRoute(route uint32, w Work) {
	if d.Routes == nil {
		d.Routes = make(map[uint32]Work)
	}
	d.Routes[route] = d.Routes[route].add(w)
	d.All = d.All.add(w)
}

// Add adds the work of another Demand.
func (d *Demand) Add(other *Demand) {
	for route, w := range other.Routes {
		d.AddRoute(route, w)
	}
}
