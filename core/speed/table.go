package speed

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/names"
	"persimmonstage/core/target"
)

const (
	// defaultRunTime is the estimate for a kind without samples or a declared time.
	defaultRunTime = 200 * time.Millisecond
	// minRunTime is the shortest run time that is learned or expected.
	minRunTime = 100 * time.Microsecond
	// maxKinds bounds the kinds kept; a new one replaces the least recently used.
	maxKinds = 4096
	// maxRatio bounds the influence of a straggler on the mean of a kind.
	maxRatio = 4
	// ratioStep is the weight of a sample in the mean of a kind, small because the mean depends on rare stragglers.
	ratioStep = 1.0 / 128
	// minSamples is how many samples an estimate needs to be preferred to a declared time.
	minSamples = 3
)

// kindRow is the estimate of one kind, for a target of mean speed.
type kindRow struct {
	hash       uint64
	absolute   estimate  // logarithm of the run time in seconds
	declared   estimate  // logarithm of the ratio of the run time to the declared one
	ratio      float32   // mean of the ratio of the run time to its estimate
	lastTarget target.ID // the target of the last sample
}

// targetRow is the logarithm of the ratio of a target's run times to the mean of all targets.
type targetRow struct {
	generation uint32
	sampled    bool // since the last Decay
	factor     estimate
}

// Table estimates the run time of a kind at a target as the product of three learned parts: the kind's run time (or its
// ratio to the declared one, whichever deviated less), the target's factor, and a correction for the pair once it has enough
// samples. A pair without samples is thus estimated from its kind and its target. Memory is bounded: by the known targets, by
// maxKinds, and by a fixed table of pairs in which the more frequent ones are kept.
// The zero value is ready to use. A Table is not safe for concurrent use.
type Table struct {
	names   *names.Index
	kinds   []kindRow
	targets []targetRow
	sum     float64 // sum of the factors of the known targets
	known   int
	pairs   []pair
}

// Kind returns the index of a kind; it is valid until the next call of Kind.
func (t *Table) Kind(name string) int {
	if t.names == nil {
		t.names = names.New(maxKinds)
	}
	k, fresh := t.names.Number(name)
	if k == len(t.kinds) {
		t.kinds = append(t.kinds, kindRow{})
	}
	if fresh {
		t.kinds[k] = kindRow{hash: xxhash.Sum64String(name)}
	}
	return k
}

// Expect returns the expected run time of a task of a kind at a target; declared may be zero.
func (t *Table) Expect(id target.ID, kind int, declared time.Duration) time.Duration {
	k := &t.kinds[kind]
	run := math.Exp(t.base(k, declared)+t.factor(id)+t.correction(id, k)) * k.meanRatio()
	return max(minRunTime, seconds(run))
}

// Factor returns the ratio of a target's run times to the mean of all targets, or 1 if it has no samples.
func (t *Table) Factor(id target.ID) float64 {
	return math.Exp(t.factor(id) - t.meanFactor())
}

// Learn adds the run time of a task that completed.
func (t *Table) Learn(id target.ID, kind string, declared, ran time.Duration) {
	k := &t.kinds[t.Kind(kind)]
	x := math.Log(max(minRunTime, ran).Seconds())
	base := t.base(k, declared)
	factor := t.factor(id)
	if k.absolute.count > 0 {
		t.learnPair(id, k, x-base-factor)
		t.learnTarget(id, x-base)
		k.learnRatio(id, x-base-factor)
	}
	k.learn(id, x-factor, declared)
}

// learn adds the logarithm of a run time at mean speed. Repeated samples of one target say more about the target than about
// the kind, so only a sample of a different target than the last has full weight.
func (k *kindRow) learn(id target.ID, x float64, declared time.Duration) {
	same := k.lastTarget == id
	k.lastTarget = id
	k.absolute.learnFrom(same, x)
	if declared > 0 {
		k.declared.learnFrom(same, x-math.Log(declared.Seconds()))
	}
}

// base returns the logarithm of the run time of a kind at a target of mean speed.
func (t *Table) base(k *kindRow, declared time.Duration) float64 {
	switch {
	case declared <= 0 && k.absolute.count == 0:
		return math.Log(defaultRunTime.Seconds())
	case declared <= 0:
		return float64(k.absolute.centre)
	case k.declared.count == 0 && k.absolute.count >= minSamples:
		return float64(k.absolute.centre)
	case k.declared.count >= minSamples && k.absolute.deviation <= k.declared.deviation:
		return float64(k.absolute.centre)
	}
	return float64(k.declared.centre) + math.Log(declared.Seconds())
}

// meanRatio returns the ratio of the mean run time to its centre.
func (k *kindRow) meanRatio() float64 {
	return max(1, float64(k.ratio))
}

func (k *kindRow) learnRatio(id target.ID, off float64) {
	if k.lastTarget == id {
		return
	}
	if k.ratio == 0 {
		k.ratio = 1
	}
	k.ratio += ratioStep * float32(min(maxRatio, math.Exp(off))-float64(k.ratio))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
