package retry

import (
	"math/rand/v2"
	"time"
)

const (
	rateWindow    = time.Second
	rateWeight    = 0.25 // weight of the last window in the rate of starts
	minRate       = 1.0  // starts per second that are assumed at least
	returnShare   = 0.5  // returning callers per start
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// pacing gives each refused caller a place in a queue that is served at a share of the rate of starts: few refused callers
// return soon, many return spread over the time that it takes to serve them.
type pacing struct {
	windowEnd  time.Time
	count      int
	rate       float64   // starts per second
	lastReturn time.Time // return time of the last refused caller
}

func (p *pacing) addStart(now time.Time) {
	p.rollWindow(now)
	p.count++
}

// rollWindow ends the counting window if its time has passed.
func (p *pacing) rollWindow(now time.Time) {
	if now.Before(p.windowEnd) {
		return
	}
	if !p.windowEnd.IsZero() {
		p.rate += rateWeight * (float64(p.count)/rateWindow.Seconds() - p.rate)
	}
	p.count = 0
	p.windowEnd = now.Add(rateWindow)
}

func (p *pacing) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	p.rollWindow(now)
	gap := time.Duration(float64(time.Second) / (returnShare * max(minRate, p.rate)))
	if p.lastReturn.Before(now) {
		p.lastReturn = now
	}
	p.lastReturn = p.lastReturn.Add(gap)
	after := p.lastReturn.Sub(now)
	if after > maxRetryAfter {
		p.lastReturn = now.Add(maxRetryAfter)
		return maxRetryAfter/2 + time.Duration(rng.Int64N(int64(maxRetryAfter/2)))
	}
	return minRetryAfter + after/2 + time.Duration(rng.Int64N(int64(after)+1))
}
