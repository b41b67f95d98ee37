package runs

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of one run in the mean: estimates are some 30 % off, so a mean of about 20 runs is 6 % off.
	paceWeight = 0.1
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

// pace is the mean of the logarithm of run times over the expected ones; the zero value is a pace of 1.
type pace struct {
	log     float64
	sampled time.Time
}

func (p *pace) value() float64 { return min(maxPace, max(minPace, math.Exp(p.log))) }

func (p *pace) learn(now time.Time, ran, expected time.Duration) {
	if ran <= 0 || expected <= 0 {
		return
	}
	p.log += paceWeight * (math.Log(float64(ran)/float64(expected)) - p.log)
	p.sampled = now
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
}
