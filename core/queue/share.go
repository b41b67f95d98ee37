package queue

import (
	"time"

	"persimmonstage/core/heap"
)

// maxDebt limits, in host-seconds, how far corrections move a share behind the others, so that one straggler doesn't block
// its share for long.
const maxDebt = 30.0

// idleCredit limits, in seconds of service at its own fraction, what a share may catch up after being idle. It lets a burst
// of a share that uses less than its fraction go ahead of a flood.
const idleCredit = 1.0

// share holds what teams and kinds have in common: a weight and a start tag in the virtual time of their parent.
type share struct {
	name       string
	weight     int64
	startTag   float64 // host-seconds per unit of weight
	index      int     // in the parent's heap; -1 while nothing waits
	queued     int64
	bytes      int64
	active     bool // has waiting or running items
	configured bool // weight was set
}

// resetTag raises the start tag of a share that was empty to the present, less a credit.
func (s *share) resetTag(now, credit float64) { s.startTag = max(s.startTag, now-credit) }

// charge advances the start tag by a cost.
func (s *share) charge(cost float64) { s.startTag += cost / float64(s.weight) }

// adjustCharge applies a later correction of a cost; a refund never moves the tag behind the present.
func (s *share) adjustCharge(cost, now float64) {
	floor := min(s.startTag, now)
	ceiling := max(s.startTag, now+maxDebt/float64(s.weight))
	s.charge(cost)
	s.startTag = min(max(s.startTag, floor), ceiling)
}

func (s *share) before(o *share) bool {
	if s.startTag != o.startTag {
		return s.startTag < o.startTag
	}
	return s.name < o.name
}

type team[T any] struct {
	share
	kinds       map[string]*kind[T]
	waiting     *heap.Heap[*kind[T]]
	virtualTime float64 // of the kinds
	weights     weightSums
	running     int64 // thousandths of the host
}

type kind[T any] struct {
	share
	team         *team[T]
	items        *heap.Heap[*entry[T]]
	running      int64   // thousandths of the host
	backlog      float64 // host-seconds waiting, by the run times expected when they were pushed
	lastUse      uint64  // sequence number of the last push
	runTimeError float64 // ratio of actual to expected run time, less one
}

const (
	maxRunTimeRatio = 16.0    // limit of the ratio of actual to expected run time, up and down
	runTimeGain     = 1.0 / 8 // step towards an observed ratio
)

// learnRunTime updates the moving average of the ratio of actual to expected run time.
func (k *kind[T]) learnRunTime(ran, expected time.Duration) {
	ratio := max(ran, minRun).Seconds() / max(expected, minRun).Seconds()
	ratio = min(max(ratio, 1/maxRunTimeRatio), maxRunTimeRatio)
	k.runTimeError += runTimeGain * (ratio - 1 - k.runTimeError)
}

// expectedRun returns the run time of an item, corrected by the observed ratio of its share.
func (k *kind[T]) expectedRun(it *Item[T]) time.Duration {
	return time.Duration(float64(it.Run) * (1 + k.runTimeError))
}

// correctedBacklog returns the host-seconds waiting, corrected by the observed run times.
func (k *kind[T]) correctedBacklog() float64 { return k.backlog * (1 + k.runTimeError) }

// backlogBehindHead returns the host-seconds waiting behind the first item: one long task alone isn't a backlog.
func (k *kind[T]) backlogBehindHead() float64 {
	head := &k.items.Min().item
	return k.correctedBacklog() - head.cost(k.expectedRun(head))
}

// weightSums holds the sums of the weights of a parent's shares.
type weightSums struct {
	total  int64
	active int64
}

func newTeam[T any](name string, weight int64) *team[T] {
	return &team[T]{
		share: share{name: name, weight: weight, index: -1},
		kinds: map[string]*kind[T]{},
		waiting: heap.New(
			func(a, b *kind[T]) bool { return a.before(&b.share) },
			func(k *kind[T], i int) { k.index = i },
		),
	}
}

func newKind[T any](t *team[T], name string, weight int64) *kind[T] {
	return &kind[T]{
		share: share{name: name, weight: weight, index: -1},
		team:  t,
		items: heap.New(
			func(a, b *entry[T]) bool { return a.before(b) },
			func(e *entry[T], i int) { e.index = i },
		),
	}
}
