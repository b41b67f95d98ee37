package speed

import "math"

const (
	slowestStep  = 1.0 / 16 // weight of a sample once many are known
	largestShift = 1.0      // a sample counts as at most e times off, however far it is
	changeShift  = 0.5      // a sample this far off, in the logarithm, may be a sign of a change
	changeStreak = 6        // so many such samples in a row, on one side, are a change
	changedCount = 2        // samples that the estimate counts as after a change
	maxCount     = 1 << 16
	sameWeight   = 1.0 / 4 // weight of a further sample of the same source
)

// gauge follows the centre of a quantity in the logarithm. A straggler moves it by no more than a sample that is e times off,
// and a lasting change is followed within a few samples. The zero value knows nothing.
type gauge struct {
	centre    float32
	deviation float32 // mean distance of a sample from the centre
	count     uint32
	streak    int8 // samples in a row that were far off, negative below the centre
}

// learn takes the logarithm of one sample.
func (g *gauge) learn(x float64) {
	g.watch(x - float64(g.centre))
	g.take(x, 1)
}

// learnOf takes the logarithm of one sample, at a part of its weight if it comes from the same source as the last.
func (g *gauge) learnOf(same bool, x float64) {
	if same && g.count > 0 {
		g.take(x, sameWeight)
		return
	}
	g.learn(x)
}

// take moves the centre by one sample of a weight of at most 1.
func (g *gauge) take(x, weight float64) {
	off := x - float64(g.centre)
	g.count = min(g.count+1, maxCount)
	step := weight * max(slowestStep, 1/float64(g.count))
	if g.count == 1 {
		g.centre = float32(x)
		return
	}
	shift := max(-largestShift, min(largestShift, off))
	g.centre += float32(step * shift)
	g.deviation += float32(step * (math.Abs(off) - float64(g.deviation)))
}

// watch makes the gauge quick again when samples stay far off on one side.
func (g *gauge) watch(off float64) {
	switch {
	case off > changeShift && g.streak >= 0:
		g.streak++
	case off < -changeShift && g.streak <= 0:
		g.streak--
	default:
		g.streak = 0
	}
	if g.streak == changeStreak || g.streak == -changeStreak {
		g.streak = 0
		g.count = min(g.count, changedCount)
	}
}
