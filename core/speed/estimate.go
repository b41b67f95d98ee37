package speed

import "math"

const (
	minStep          = 1.0 / 16 // weight of a sample once many are known
	maxShift         = 1.0      // limit of a sample's distance from the centre: a factor of e
	changeShift      = 0.5      // distance, in the logarithm, from which on a sample may indicate a change
	changeStreak     = 6        // number of consecutive such samples on one side that are a change
	changedCount     = 2        // number of samples that the estimate counts as after a change
	maxCount         = 1 << 16
	sameSourceWeight = 1.0 / 4 // weight of a further sample of the same source
)

// estimate tracks the centre of the logarithm of a quantity. An outlier has no more influence than a sample that is off by a
// factor of e, and a lasting change is followed within a few samples. The zero value has no samples.
type estimate struct {
	centre    float32
	deviation float32 // mean distance of a sample from the centre
	count     uint32
	streak    int8 // consecutive samples beyond changeShift, negative below the centre
}

// learn adds the logarithm of a sample.
func (e *estimate) learn(x float64) {
	e.detectChange(x - float64(e.centre))
	e.update(x, 1)
}

// learnFrom adds the logarithm of a sample, at a reduced weight if it comes from the same source as the last one.
func (e *estimate) learnFrom(same bool, x float64) {
	if same && e.count > 0 {
		e.update(x, sameSourceWeight)
		return
	}
	e.learn(x)
}

// update moves the centre and the deviation by a sample; weight is at most 1.
func (e *estimate) update(x, weight float64) {
	off := x - float64(e.centre)
	e.count = min(e.count+1, maxCount)
	step := weight * max(minStep, 1/float64(e.count))
	if e.count == 1 {
		e.centre = float32(x)
		return
	}
	shift := max(-maxShift, min(maxShift, off))
	e.centre += float32(step * shift)
	e.deviation += float32(step * (math.Abs(off) - float64(e.deviation)))
}

// detectChange increases the weight of further samples when changeStreak samples were far off on the same side.
func (e *estimate) detectChange(off float64) {
	switch {
	case off > changeShift && e.streak >= 0:
		e.streak++
	case off < -changeShift && e.streak <= 0:
		e.streak--
	default:
		e.streak = 0
	}
	if e.streak == changeStreak || e.streak == -changeStreak {
		e.streak = 0
		e.count = min(e.count, changedCount)
	}
}
