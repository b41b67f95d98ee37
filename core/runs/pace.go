package runs

import (
	"math"
	"time"
)

const (
	// steadySamples is the number of runs in the mean while a target's pace doesn't change. Estimates of run times are off by
	// some 30 %, alike for all tasks of a job, so with fewer samples the error would exceed the differences between targets.
	steadySamples = 50
	// freshSamples is the same after a change of the pace, and for a new target.
	freshSamples = 4
	// outlierRatio is the ratio of the run time to the expected one, or its inverse, that is rare at a steady target.
	outlierRatio = 2
	// outlierStreak is the number of consecutive such runs that indicate a changed pace.
	outlierStreak = 3
	// overdueFactor is the multiple of its expected time, at the learned pace, from which on a run is a sample of the pace before
	// its end. It is larger than the usual differences between tasks.
	overdueFactor = 2.2
	// decayPeriod is the time without samples after which the pace moves towards 1 by decayFactor, repeated in each such period:
	// a slow target gets little work, so otherwise its recovery would go unnoticed.
	decayPeriod = time.Second
	decayFactor = 0.8
	minPace     = 0.1
	maxPace     = 100
)

// pace is the mean logarithm of the ratio of run times to expected ones; the zero value is a pace of 1. The mean covers many
// runs while they agree, to distinguish targets of different speed, and few after a change.
type pace struct {
	logMean    float64
	samples    float64
	outliers   int // consecutive outliers, negative if they took less time
	lastSample time.Time
}

func (p *pace) value() float64 { return min(maxPace, max(minPace, math.Exp(p.logMean))) }

func (p *pace) learn(now time.Time, ran, expected time.Duration) {
	if ran <= 0 || expected <= 0 {
		return
	}
	deviation := p.trackOutliers(math.Log(float64(ran)/float64(expected)) - p.logMean)
	p.samples = min(steadySamples, max(freshSamples, p.samples+1))
	p.logMean += deviation / p.samples
	p.lastSample = now
}

// trackOutliers counts consecutive outliers and returns the deviation to learn: that of a single outlier is limited to the
// threshold, while outlierStreak of them restart the mean with few samples.
func (p *pace) trackOutliers(deviation float64) float64 {
	limit := math.Log(outlierRatio)
	switch {
	case deviation > limit:
		p.outliers = max(p.outliers, 0) + 1
	case deviation < -limit:
		p.outliers = min(p.outliers, 0) - 1
	default:
		p.outliers = 0
	}
	if p.outliers >= outlierStreak || p.outliers <= -outlierStreak {
		p.samples = 0
		return deviation
	}
	return min(limit, max(-limit, deviation))
}

// learnOverdue learns the whole run time that is forecast for a run that hasn't ended, and reports whether it changed the pace.
func (p *pace) learnOverdue(now time.Time, whole, expected time.Duration) bool {
	if float64(whole) < overdueFactor*p.value()*float64(expected) {
		return false
	}
	p.learn(now, whole, expected)
	return true
}

func (p *pace) decay(now time.Time) {
	if p.lastSample.IsZero() || now.Sub(p.lastSample) < decayPeriod {
		return
	}
	p.lastSample = now
	p.logMean *= decayFactor
	p.samples = freshSamples
}
