package rtt

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new delay in its moving averages, those of TCP's retransmission timer.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// lossWeight is the weight of a call in the moving average of the losses.
	lossWeight = 1.0 / 16
	// lossPeriod is how long after a loss answers still count as at risk.
	lossPeriod = 3 * time.Second
	// manyLosses is the fraction of lost answers from which on a call is repeated soon. Below, most calls that take long are only
	// slow, and each needless repeat costs a connection and looks like a further loss.
	manyLosses = 0.2
	// usualTimeout is the timeout below manyLosses.
	usualTimeout = 20 * time.Millisecond
	minTimeout   = 6 * time.Millisecond
)

// Estimator is the estimate for one target; the zero value has seen no call.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	loss      float64
	lostAt    time.Time
}

// Answered records the delay of an answer.
func (e *Estimator) Answered(delay time.Duration) {
	e.loss -= lossWeight * e.loss
	if e.mean == 0 {
		e.mean, e.deviation = delay, delay/2
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((delay-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(delay-e.mean))
}

// Lost records a call without an answer.
func (e *Estimator) Lost(now time.Time) {
	e.loss += lossWeight * (1 - e.loss)
	e.lostAt = now
}

// AtRisk reports whether an answer was lost within the last seconds.
func (e *Estimator) AtRisk(now time.Time) bool {
	return !e.lostAt.IsZero() && now.Sub(e.lostAt) < lossPeriod
}

// Lossy reports whether so many answers are lost that calls have to be repeated soon.
func (e *Estimator) Lossy(now time.Time) bool { return e.AtRisk(now) && e.loss >= manyLosses }

// Timeout returns how long to wait for an answer before the call is repeated.
func (e *Estimator) Timeout(now time.Time) time.Duration {
	if !e.Lossy(now) || e.mean == 0 {
		return usualTimeout
	}
	return min(usualTimeout, max(minTimeout, e.mean+deviations*e.deviation))
}
