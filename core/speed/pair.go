package speed

import "persimmonstage/core/target"

const (
	// pairSlots is the fixed number of (target, kind) pairs whose correction is kept; a power of two.
	pairSlots = 1 << 16
	// pairPrior is the weight, in samples, of the prior that a pair needs no correction.
	pairPrior = 8
)

// pair is the learned correction of a pair of target and kind.
type pair struct {
	tag       uint64
	deviation estimate
}

// correction returns the logarithm of the ratio of the pair's run time to the product of kind and target, reduced towards 0
// while the pair has few samples.
func (t *Table) correction(id target.ID, k *kindRow) float64 {
	if t.pairs == nil {
		return 0
	}
	tag := pairTag(id, k.hash)
	p := &t.pairs[tag%pairSlots]
	if p.tag != tag {
		return 0
	}
	n := float64(p.deviation.count)
	return float64(p.deviation.centre) * n / (n + pairPrior)
}

// learnPair adds the deviation of a run time from the product of kind and target. If another pair holds the slot, its sample
// count is decremented instead, and at 1 the new pair replaces it.
func (t *Table) learnPair(id target.ID, k *kindRow, off float64) {
	if t.pairs == nil {
		t.pairs = make([]pair, pairSlots)
	}
	tag := pairTag(id, k.hash)
	p := &t.pairs[tag%pairSlots]
	if p.tag != tag {
		if p.deviation.count > 1 {
			p.deviation.count--
			return
		}
		*p = pair{tag: tag}
	}
	p.deviation.learn(off)
}

func pairTag(id target.ID, kindHash uint64) uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := (kindHash ^ uint64(id)) * mix
	return h ^ h>>32
}
