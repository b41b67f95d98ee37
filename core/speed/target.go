package speed

import (
	"persimmonstage/core/target"
)

// decayStep is the fraction of the distance to the mean by which Decay moves a factor.
const decayStep = 0.1

// factor returns the logarithm of a target's factor, or the mean of the targets if it has no samples.
func (t *Table) factor(id target.ID) float64 {
	if r := t.targetRow(id); r != nil && r.factor.count > 0 {
		return float64(r.factor.centre)
	}
	return t.meanFactor()
}

func (t *Table) meanFactor() float64 {
	if t.known == 0 {
		return 0
	}
	return t.sum / float64(t.known)
}

// learnTarget adds the logarithm of the ratio of a run time at a target to the kind's run time.
func (t *Table) learnTarget(id target.ID, off float64) {
	for id.Index() >= len(t.targets) {
		t.targets = append(t.targets, targetRow{})
	}
	r := &t.targets[id.Index()]
	if r.generation > id.Generation() {
		return
	}
	if r.generation < id.Generation() {
		t.Forget(target.New(uint32(id.Index()), r.generation))
		*r = targetRow{generation: id.Generation()}
	}
	if r.factor.count == 0 {
		t.known++
	}
	before := r.factor.centre
	r.factor.learn(off)
	r.sampled = true
	t.sum += float64(r.factor.centre - before)
}

// Decay moves the factors of targets without a sample since the last Decay towards the mean and calls changed with each:
// a slow target gets no work while others have room, so otherwise its recovery would go unnoticed.
func (t *Table) Decay(changed func(target.ID)) {
	mean := t.meanFactor()
	for i := range t.targets {
		r := &t.targets[i]
		if r.sampled || r.factor.count == 0 {
			r.sampled = false
			continue
		}
		shift := decayStep * (mean - float64(r.factor.centre))
		r.factor.centre += float32(shift)
		r.factor.count = min(r.factor.count, changedCount)
		t.sum += shift
		changed(target.New(uint32(i), r.generation))
	}
}

// Forget removes the estimate of a target.
func (t *Table) Forget(id target.ID) {
	r := t.targetRow(id)
	if r == nil || r.factor.count == 0 {
		return
	}
	t.known--
	t.sum -= float64(r.factor.centre)
	r.factor = estimate{}
}

func (t *Table) targetRow(id target.ID) *targetRow {
	i := id.Index()
	if i >= len(t.targets) || t.targets[i].generation != id.Generation() {
		return nil
	}
	return &t.targets[i]
}
