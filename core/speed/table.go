package speed

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/names"
	"persimmonstage/core/target"
)

const (
	// unknownRun is expected of a kind of which nothing is known or declared.
	unknownRun = 200 * time.Millisecond
	// shortestRun is the least run time that is learned or expected.
	shortestRun = 100 * time.Microsecond
	// maxKinds bounds the kinds kept; the one not asked for longest makes place for a new one.
	maxKinds = 4096
	// largestRatio bounds what a straggler adds to the mean of a kind.
	largestRatio = 4
	// ratioStep is the weight of a sample in the mean of a kind, small as the mean hangs on rare stragglers.
	ratioStep = 1.0 / 128
	// settled is how many samples an estimate needs before it is preferred to a declared time.
	settled = 3
)

// kindRow is what is known of one kind, for a target of mean speed.
type kindRow struct {
	hash     uint64
	absolute gauge // logarithm of the run time in seconds
	declared gauge // logarithm of the run time over the declared one
	ratio    float32
	last     target.ID // the target of the last sample
}

// targetRow is how much longer than the mean a target takes, as a logarithm.
type targetRow struct {
	generation uint32
	sampled    bool // since the last Decay
	factor     gauge
}

// Table estimates the run time of a kind at a target as the product of three learned parts: the kind's run time (or its
// ratio to the declared one, whichever has been off by less), the target's factor, and a correction of the pair where
// enough was seen of it. So an unseen pair is estimated from what is known of either. Memory is bounded: by the known
// targets, by maxKinds, and by a fixed table of pairs in which the more frequent keep their place.
// The zero value works. A Table belongs to one goroutine.
type Table struct {
	names   *names.Index
	kinds   []kindRow
	targets []targetRow
	sum     float64 // of the factors of the seen targets
	seen    int
	pairs   []pair
}

// Kind returns the number under which run times of a kind are kept; it is valid until the next call of Kind.
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
	run := math.Exp(t.base(k, declared)+t.factor(id)+t.correction(id, k)) * k.mean()
	return max(shortestRun, seconds(run))
}

// Factor returns how many times longer than the mean of the targets a target takes; 1 if nothing is known of it.
func (t *Table) Factor(id target.ID) float64 {
	return math.Exp(t.factor(id) - t.meanFactor())
}

// Learn takes the run time of a task that ended whole.
func (t *Table) Learn(id target.ID, kind string, declared, ran time.Duration) {
	k := &t.kinds[t.Kind(kind)]
	x := math.Log(max(shortestRun, ran).Seconds())
	base := t.base(k, declared)
	factor := t.factor(id)
	if k.absolute.count > 0 {
		t.learnPair(id, k, x-base-factor)
		t.learnTarget(id, x-base)
		k.learnRatio(id, x-base-factor)
	}
	k.learn(id, x-factor, declared)
}

// learn takes the logarithm of a run time at mean speed. What one target shows again and again is a sign of that target,
// so only a sample of another one than the last counts in full.
func (k *kindRow) learn(id target.ID, x float64, declared time.Duration) {
	same := k.last == id
	k.last = id
	k.absolute.learnOf(same, x)
	if declared > 0 {
		k.declared.learnOf(same, x-math.Log(declared.Seconds()))
	}
}

// base returns the logarithm of the run time of a kind at a target of mean speed.
func (t *Table) base(k *kindRow, declared time.Duration) float64 {
	switch {
	case declared <= 0 && k.absolute.count == 0:
		return math.Log(unknownRun.Seconds())
	case declared <= 0:
		return float64(k.absolute.centre)
	case k.declared.count == 0 && k.absolute.count >= settled:
		return float64(k.absolute.centre)
	case k.declared.count >= settled && k.absolute.deviation <= k.declared.deviation:
		return float64(k.absolute.centre)
	}
	return float64(k.declared.centre) + math.Log(declared.Seconds())
}

// mean returns the mean of the run time over its centre.
func (k *kindRow) mean() float64 {
	return max(1, float64(k.ratio))
}

func (k *kindRow) learnRatio(id target.ID, off float64) {
	if k.last == id {
		return
	}
	if k.ratio == 0 {
		k.ratio = 1
	}
	k.ratio += ratioStep * float32(min(largestRatio, math.Exp(off))-float64(k.ratio))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
