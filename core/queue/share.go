package queue

import (
	"time"

	"persimmonstage/core/heap"
)

// maxDebt bounds, in host-seconds, how far corrections move a share behind the others, so that one straggler doesn't
// shut its share out for long.
const maxDebt = 30.0

// idleCredit bounds, in seconds of service at its own part, what a share may catch up after a pause. It lets a burst
// of a share that uses less than its part go ahead of a flood.
const idleCredit = 1.0

// share is what teams and kinds have in common: a weight and a start tag in the virtual time of their parent.
type share struct {
	name   string
	weight int64
	start  float64 // host-seconds per unit of weight
	place  int     // in the parent's heap; -1 while nothing waits
	queued int64
	bytes  int64
	active bool // has waiting or running items
	kept   bool // named by a setting
}

// enter puts the start tag of a share that was empty to the present, less a credit.
func (s *share) enter(now, credit float64) { s.start = max(s.start, now-credit) }

// charge moves the tag on by a cost.
func (s *share) charge(cost float64) { s.start += cost / float64(s.weight) }

// correct applies a later correction of a cost; credit never takes the tag behind the present.
func (s *share) correct(cost, now float64) {
	floor := min(s.start, now)
	ceiling := max(s.start, now+maxDebt/float64(s.weight))
	s.charge(cost)
	s.start = min(max(s.start, floor), ceiling)
}

func (s *share) before(o *share) bool {
	if s.start != o.start {
		return s.start < o.start
	}
	return s.name < o.name
}

type team[T any] struct {
	share
	kinds   map[string]*kind[T]
	waiting *heap.Heap[*kind[T]]
	now     float64 // virtual time of the kinds
	weights weights
	running int64 // thousandths of the host
}

type kind[T any] struct {
	share
	team    *team[T]
	items   *heap.Heap[*entry[T]]
	running int64   // thousandths of the host
	backlog float64 // host-seconds that wait, as expected when they were pushed
	lastUse uint64  // sequence number of the last push
	drift   float64 // true over expected run time, less one
}

const (
	maxDrift  = 16.0    // bound of the ratio of true to expected run time, up and down
	driftGain = 1.0 / 8 // step towards a seen ratio
)

// learn follows the ratio of true to expected run time.
func (k *kind[T]) learn(ran, expected time.Duration) {
	ratio := max(ran, minRun).Seconds() / max(expected, minRun).Seconds()
	ratio = min(max(ratio, 1/maxDrift), maxDrift)
	k.drift += driftGain * (ratio - 1 - k.drift)
}

// expected returns the run time of an item by what was learned of its share.
func (k *kind[T]) expected(it *Item[T]) time.Duration {
	return time.Duration(float64(it.Run) * (1 + k.drift))
}

// work returns the host-seconds that wait, by what was learned.
func (k *kind[T]) work() float64 { return k.backlog * (1 + k.drift) }

// behind returns the host-seconds that wait behind the head: one long task alone isn't a backlog.
func (k *kind[T]) behind() float64 {
	head := &k.items.Min().item
	return k.work() - head.cost(k.expected(head))
}

// weights sums the weights of a parent's shares.
type weights struct {
	known  int64
	active int64
}

func newTeam[T any](name string, weight int64) *team[T] {
	return &team[T]{
		share: share{name: name, weight: weight, place: -1},
		kinds: map[string]*kind[T]{},
		waiting: heap.New(
			func(a, b *kind[T]) bool { return a.before(&b.share) },
			func(k *kind[T], i int) { k.place = i },
		),
	}
}

func newKind[T any](t *team[T], name string, weight int64) *kind[T] {
	return &kind[T]{
		share: share{name: name, weight: weight, place: -1},
		team:  t,
		items: heap.New(
			func(a, b *entry[T]) bool { return a.before(b) },
			func(e *entry[T], i int) { e.place = i },
		),
	}
}
