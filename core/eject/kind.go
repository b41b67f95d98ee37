package eject

import (
	"math"
	"slices"

	"persimmonstage/core/target"
)

const (
	shareStep     = 1.0 / 128 // weight of an outcome in a kind's share of failures
	sameShareStep = 1.0 / 512 // weight of one at the same target as the last
	firstShare    = 0.05      // failures that an unknown kind is expected to have
	leastShare    = 0.01      // failures that every kind is expected to have
	sickShare     = 0.5       // failures that a sick target is expected to have
	maxUnsettled  = 16        // targets with failures of one kind that wait to be settled
)

// kindRow is what is known of one kind.
type kindRow struct {
	share     float64   // of its tasks that fail
	last      target.ID // the target of the last outcome
	unsettled []failure
}

// failure is the failures of a kind at one target that wait for an outcome of the kind elsewhere.
type failure struct {
	id     target.ID
	spell  int // of the target, between two ejections
	tasks  int
	weight float64
}

func (j *Detector) kind(name string) *kindRow {
	n, fresh := j.names.Number(name)
	if n == len(j.kinds) {
		j.kinds = append(j.kinds, kindRow{})
	}
	k := &j.kinds[n]
	if fresh {
		j.dismiss(k, 0)
		*k = kindRow{share: firstShare}
	}
	return k
}

// learn takes an outcome; a run of outcomes at one target counts for less, as the target may be the cause.
func (k *kindRow) learn(id target.ID, failed float64) {
	step := shareStep
	if k.last == id {
		step = sameShareStep
	}
	k.last = id
	k.share = max(leastShare, k.share+step*(failed-k.share))
}

// against is how much one failure speaks for a sick target: the logarithm of how much likelier it is of one.
func (k *kindRow) against() float64 {
	return max(0, math.Log(sickShare/k.share))
}

// inFavour is how much one whole result speaks for a well target.
func (k *kindRow) inFavour() float64 {
	return max(0, math.Log((1-k.share)/(1-sickShare)))
}

// hold keeps a failure until an outcome elsewhere settles it; many targets that fail one kind dismiss each other.
func (j *Detector) hold(k *kindRow, id target.ID, r *row) {
	weight := k.against()
	if weight == 0 {
		return
	}
	r.unsettled++
	for i := range k.unsettled {
		if f := &k.unsettled[i]; f.id == id && f.spell == r.spell {
			f.tasks++
			f.weight = min(f.weight+weight, sickEvidence)
			return
		}
	}
	if len(k.unsettled) == maxUnsettled {
		j.dismiss(k, id)
	}
	k.unsettled = append(k.unsettled, failure{id: id, spell: r.spell, tasks: 1, weight: weight})
}

// settle takes the held failures of a kind at all targets but id off the list, and calls with each whose target is present.
func (j *Detector) settle(k *kindRow, id target.ID, with func(id target.ID, r *row, weight float64)) {
	kept := k.unsettled[:0]
	for _, f := range k.unsettled {
		if f.id == id {
			kept = append(kept, f)
			continue
		}
		if r := j.row(f.id); r != nil && r.spell == f.spell {
			r.unsettled -= f.tasks
			with(f.id, r, f.weight)
		}
	}
	k.unsettled = kept
}

// relieve takes what a whole result at a target says from its held failures of the kind.
func (k *kindRow) relieve(id target.ID, r *row) {
	for i := range k.unsettled {
		f := &k.unsettled[i]
		if f.id != id || f.spell != r.spell {
			continue
		}
		f.weight -= k.inFavour()
		if f.weight <= 0 {
			r.unsettled -= f.tasks
			k.unsettled = slices.Delete(k.unsettled, i, i+1)
		}
		return
	}
}

// dismiss drops the held failures of a kind at all targets but id.
func (j *Detector) dismiss(k *kindRow, id target.ID) {
	j.settle(k, id, func(other target.ID, r *row, _ float64) {
		if r.state == paused {
			j.resume(other, r)
		}
	})
}
