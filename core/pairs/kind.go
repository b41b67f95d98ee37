package pairs

import "hash/fnv"

// Kind identifies a route in messages; it is a hash of the route's name.
type Kind uint32

// KindOf returns the kind of a route.
func KindOf(route string) Kind {
	h := fnv.New32a()
	_, _ = h.Write([]byte(route))
	return Kind(h.Sum32())
}

// Share is the number of runs of a kind beside a run, averaged over the time of that run.
type Share struct {
	Kind Kind
	Runs float64
}

// Sample is a task of a job that has run to its end.
type Sample struct {
	Target string
	Log    float64 // logarithm of the run time divided by the expected one at that target
	Beside []Share
}

// Partner is a kind to keep apart from another one.
type Partner struct {
	Kind     Kind
	Slowdown float64 // logarithm of the factors by which one run of each slows the other, added up
}

// Change is a pair that has begun or ceased to count as slowing down.
type Change struct {
	Slowed   string // route
	By       string // route, or the kind in hexadecimal if its name isn't known
	Apart    bool
	Factor   float64 // on the run time, for each run beside
	Error    float64 // standard error of the factor's logarithm
	Evidence float64 // sum of the squared deviations of the number of runs beside
}
