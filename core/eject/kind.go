package eject

import (
	"math"
	"slices"

	"persimmonstage/core/target"
)

const (
	shareStep      = 1.0 / 128 // weight of an outcome in a kind's failure share
	sameShareStep  = 1.0 / 512 // weight of an outcome at the same target as the one before
	initialShare   = 0.05      // assumed failure share of a new kind
	minShare       = 0.01      // lower bound of the failure share of every kind
	unhealthyShare = 0.5       // assumed failure share at an unhealthy target
	maxUnconfirmed = 16        // targets with unconfirmed failures of one kind
)

// kindRow is the state of one kind.
type kindRow struct {
	failureShare float64   // moving average of the tasks that fail
	last         target.ID // target of the last outcome
	unconfirmed  []failure
}

// failure holds the unconfirmed failures of a kind at one target, which wait for an outcome of the kind at another target.
type failure struct {
	id        target.ID
	ejections int // of the target when it failed; after a further ejection the failures no longer count
	tasks     int
	weight    float64
}

func (d *Detector) kind(name string) *kindRow {
	n, fresh := d.names.Number(name)
	if n == len(d.kinds) {
		d.kinds = append(d.kinds, kindRow{})
	}
	k := &d.kinds[n]
	if fresh {
		d.discard(k, 0)
		*k = kindRow{failureShare: initialShare}
	}
	return k
}

// updateShare adds an outcome to the failure share; outcomes in a row at one target count less, as the target may be the cause.
func (k *kindRow) updateShare(id target.ID, failed float64) {
	step := shareStep
	if k.last == id {
		step = sameShareStep
	}
	k.last = id
	k.failureShare = max(minShare, k.failureShare+step*(failed-k.failureShare))
}

// failureWeight is the evidence of one failure: the log of how much likelier it is at an unhealthy target.
func (k *kindRow) failureWeight() float64 {
	return max(0, math.Log(unhealthyShare/k.failureShare))
}

// successWeight is the evidence of one success: the log of how much likelier it is at a healthy target.
func (k *kindRow) successWeight() float64 {
	return max(0, math.Log((1-k.failureShare)/(1-unhealthyShare)))
}

// addUnconfirmed keeps a failure until an outcome elsewhere; when too many targets fail one kind, the failures are discarded.
func (d *Detector) addUnconfirmed(k *kindRow, id target.ID, r *row) {
	weight := k.failureWeight()
	if weight == 0 {
		return
	}
	r.unconfirmed++
	for i := range k.unconfirmed {
		if f := &k.unconfirmed[i]; f.id == id && f.ejections == r.ejections {
			f.tasks++
			f.weight = min(f.weight+weight, ejectEvidence)
			return
		}
	}
	if len(k.unconfirmed) == maxUnconfirmed {
		d.discard(k, id)
	}
	k.unconfirmed = append(k.unconfirmed, failure{id: id, ejections: r.ejections, tasks: 1, weight: weight})
}

// takeUnconfirmed removes the unconfirmed failures of a kind at all targets but id, and calls with for each current target.
func (d *Detector) takeUnconfirmed(k *kindRow, id target.ID, with func(id target.ID, r *row, weight float64)) {
	kept := k.unconfirmed[:0]
	for _, f := range k.unconfirmed {
		if f.id == id {
			kept = append(kept, f)
			continue
		}
		if r := d.row(f.id); r != nil && r.ejections == f.ejections {
			r.unconfirmed -= f.tasks
			with(f.id, r, f.weight)
		}
	}
	k.unconfirmed = kept
}

// reduceUnconfirmed subtracts the weight of a success at a target from its unconfirmed failures of the kind.
func (k *kindRow) reduceUnconfirmed(id target.ID, r *row) {
	for i := range k.unconfirmed {
		f := &k.unconfirmed[i]
		if f.id != id || f.ejections != r.ejections {
			continue
		}
		f.weight -= k.successWeight()
		if f.weight <= 0 {
			r.unconfirmed -= f.tasks
			k.unconfirmed = slices.Delete(k.unconfirmed, i, i+1)
		}
		return
	}
}

// discard drops the unconfirmed failures of a kind at all targets but id and ends the pauses of these targets.
func (d *Detector) discard(k *kindRow, id target.ID) {
	d.takeUnconfirmed(k, id, func(other target.ID, r *row, _ float64) {
		if r.state == paused {
			d.resume(other, r)
		}
	})
}
