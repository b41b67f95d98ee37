package retry

import (
	"math/rand/v2"
	"time"
)

const (
	rateWindow    = time.Second
	rateStep      = 0.25 // weight of the last window in the rate of starts
	leastRate     = 1.0  // starts a second that are always reckoned with
	returnShare   = 0.5  // callers that come back, as a share of the starts
	shortestAfter = 100 * time.Millisecond
	longestAfter  = 30 * time.Second
)

// pacing gives each refused caller a turn in a queue that is worked off at a share of the rate of starts: few refused come
// back soon, many come back spread over as long as it takes to serve them.
type pacing struct {
	windowEnd time.Time
	count     int
	rate      float64   // starts a second
	turn      time.Time // of the last caller refused
}

func (p *pacing) started(now time.Time) {
	p.roll(now)
	p.count++
}

// roll ends the window of counting if its time has passed.
func (p *pacing) roll(now time.Time) {
	if now.Before(p.windowEnd) {
		return
	}
	if !p.windowEnd.IsZero() {
		p.rate += rateStep * (float64(p.count)/rateWindow.Seconds() - p.rate)
	}
	p.count = 0
	p.windowEnd = now.Add(rateWindow)
}

func (p *pacing) after(now time.Time, rng *rand.Rand) time.Duration {
	p.roll(now)
	gap := time.Duration(float64(time.Second) / (returnShare * max(leastRate, p.rate)))
	if p.turn.Before(now) {
		p.turn = now
	}
	p.turn = p.turn.Add(gap)
	after := p.turn.Sub(now)
	if after > longestAfter {
		p.turn = now.Add(longestAfter)
		return longestAfter/2 + time.Duration(rng.Int64N(int64(longestAfter/2)))
	}
	return shortestAfter + after/2 + time.Duration(rng.Int64N(int64(after)+1))
}
