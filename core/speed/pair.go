package speed

import "persimmonstage/core/target"

const (
	// pairSlots is the fixed number of (target, kind) pairs for which a correction is kept; a power of two.
	pairSlots = 1 << 16
	// pairPrior is how many samples without a correction a pair starts from.
	pairPrior = 8
)

// pair is the correction of one target and kind.
type pair struct {
	tag uint64
	off gauge
}

// correction returns by how much longer than the product of kind and target this pair runs, as a logarithm, drawn
// towards none while little was seen of it.
func (t *Table) correction(id target.ID, k *kindRow) float64 {
	if t.pairs == nil {
		return 0
	}
	tag := pairTag(id, k.hash)
	p := &t.pairs[tag%pairSlots]
	if p.tag != tag {
		return 0
	}
	n := float64(p.off.count)
	return float64(p.off.centre) * n / (n + pairPrior)
}

// learnPair takes how far off the product of kind and target was; a pair whose place is taken wears its holder down.
func (t *Table) learnPair(id target.ID, k *kindRow, off float64) {
	if t.pairs == nil {
		t.pairs = make([]pair, pairSlots)
	}
	tag := pairTag(id, k.hash)
	p := &t.pairs[tag%pairSlots]
	if p.tag != tag {
		if p.off.count > 1 {
			p.off.count--
			return
		}
		*p = pair{tag: tag}
	}
	p.off.learn(off)
}

func pairTag(id target.ID, kindHash uint64) uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := (kindHash ^ uint64(id)) * mix
	return h ^ h>>32
}
