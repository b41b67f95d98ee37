package admit

import "persimmonstage/core/bound"

const (
	defaultTasks  = 100_000   // tasks
	defaultBytes  = 512 << 20 // bytes
	defaultWeight = 1
	maxShares     = 8192 // team and kind pairs
	maxKinds      = 64   // of one team
)

type random interface{ Float64() float64 }

// Gate decides which jobs an entry admits; the zero value is ready, with default bounds, no quotas and no retry jitter.
type Gate struct {
	teams     map[string]*team
	weights   weightSums
	shares    int
	tasks     int64
	bytes     int64
	taskBound bound.Bound
	byteBound bound.Bound
	fleet     float64 // host-seconds per second
	rng       random
}

// New returns a gate that uses rng to add jitter to the retry times of refused callers.
func New(rng interface{ Float64() float64 }) *Gate {
	return &Gate{rng: rng}
}

// SetBounds limits the tasks and bytes of jobs that have not ended; jobs already admitted stay.
func (g *Gate) SetBounds(tasks, bytes int64) {
	g.init()
	g.taskBound = bound.New(tasks)
	g.byteBound = bound.New(bytes)
}

// SetWeight sets the weight of a kind in its team, or of the team when kind is empty; below 1 counts as 1.
func (g *Gate) SetWeight(teamName, kindName string, weight int64) {
	g.init()
	t := g.team(teamName)
	t.configured = true
	if kindName == "" {
		t.setWeight(&g.weights, max(weight, 1))
		return
	}
	k := g.kind(t, kindName)
	k.configured = true
	k.setWeight(&t.weights, max(weight, 1))
}

// Tasks returns the number of tasks of jobs that have not ended.
func (g *Gate) Tasks() int64 { return g.tasks }

func (g *Gate) init() {
	if g.teams != nil {
		return
	}
	g.teams = map[string]*team{}
	g.taskBound = bound.New(defaultTasks)
	g.byteBound = bound.New(defaultBytes)
}

func (g *Gate) team(name string) *team {
	t, ok := g.teams[name]
	if !ok {
		t = &team{share: share{name: name, weight: defaultWeight}, kinds: map[string]*kind{}}
		g.teams[name] = t
		g.weights.total += t.weight
	}
	return t
}

func (g *Gate) kind(t *team, name string) *kind {
	k, ok := t.kinds[name]
	if !ok {
		k = &kind{share: share{name: name, weight: defaultWeight}, team: t}
		t.kinds[name] = k
		t.weights.total += k.weight
		g.shares++
	}
	return k
}

// updateActive updates the sums of active weights after a change in what a share holds.
func (g *Gate) updateActive(k *kind) {
	t := k.team
	k.setActive(&t.weights, k.tasks > 0 || k.waiting > 0)
	t.setActive(&g.weights, t.weights.active > 0)
}
