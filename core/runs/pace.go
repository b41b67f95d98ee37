package runs

import (
	"math"
	"time"
)

const (
	// steadySamples is how many runs the mean spans on a target whose pace doesn't change: run times are known to some 30 %, and
	// tasks of one job are off alike, so fewer would leave the pace uncertain by more than targets differ.
	steadySamples = 50
	// freshSamples is the same after a change, and for a target of which nothing is known.
	freshSamples = 4
	// oddRatio is the ratio of a run time to the expected one, either way, that a steady target hardly shows by chance.
	oddRatio = 2
	// oddRuns is how many such runs in a row tell that the pace has changed.
	oddRuns = 3
	// overdueFactor is how many times its expected time at the learned pace a run takes to count before its end: more than
	// tasks differ.
	overdueFactor = 2.2
	// fadeAfter is the time without samples after which the pace returns towards 1, once in each such time: a target that was
	// slow gets little work and would never show that it isn't any more.
	fadeAfter = time.Second
	fadeKeeps = 0.8
	minPace   = 0.1
	maxPace   = 100
)

// pace is the mean of the logarithm of run times over the expected ones; the zero value is a pace of 1. The mean spans many runs
// while they agree, as targets of different speed have to be told apart, and few after a change.
type pace struct {
	log     float64
	samples float64
	odd     int // odd runs in a row, negative if they took less time
	sampled time.Time
}

func (p *pace) value() float64 { return min(maxPace, max(minPace, math.Exp(p.log))) }

func (p *pace) learn(now time.Time, ran, expected time.Duration) {
	if ran <= 0 || expected <= 0 {
		return
	}
	off := p.count(math.Log(float64(ran)/float64(expected)) - p.log)
	p.samples = min(steadySamples, max(freshSamples, p.samples+1))
	p.log += off / p.samples
	p.sampled = now
}

// count counts odd runs in a row and returns by how much a run counts: one odd run counts no more than one that is just not odd,
// and enough of them in a row shorten the mean.
func (p *pace) count(off float64) float64 {
	limit := math.Log(oddRatio)
	switch {
	case off > limit:
		p.odd = max(p.odd, 0) + 1
	case off < -limit:
		p.odd = min(p.odd, 0) - 1
	default:
		p.odd = 0
	}
	if p.odd >= oddRuns || p.odd <= -oddRuns {
		p.samples = 0
		return off
	}
	return min(limit, max(-limit, off))
}

// overdue takes the whole time that a run will take, judged before its end, and reports whether it changed the pace.
func (p *pace) overdue(now time.Time, whole, expected time.Duration) bool {
	if float64(whole) < overdueFactor*p.value()*float64(expected) {
		return false
	}
	p.learn(now, whole, expected)
	return true
}

func (p *pace) fade(now time.Time) {
	if p.sampled.IsZero() || now.Sub(p.sampled) < fadeAfter {
		return
	}
	p.sampled = now
	p.log *= fadeKeeps
	p.samples = freshSamples
}
