package retry

import (
	"math/rand/v2"
	"time"
)

const (
	defaultShare = 0.1 // retries that each start pays for
	mostTokens   = 100 // retries that can be saved up
	firstWait    = 5 * time.Millisecond
	longWait     = 250 * time.Millisecond
)

// Budget bounds retries to a share of the starts: each start adds a part of a token, each retry takes one. When a data
// centre goes, everything sent to it is refused at once while starts grow fewer, and so do retries: there is no storm.
// The zero value is a full budget. A Budget belongs to one goroutine.
type Budget struct {
	spent  float64 // tokens below a full budget
	share  float64 // zero is the default, negative none
	pacing pacing
}

// Started takes a start.
func (b *Budget) Started(now time.Time) {
	b.spent = max(0, b.spent-b.earned())
	b.pacing.started(now)
}

// SetShare sets the retries that each start pays for, 0 to 1.
func (b *Budget) SetShare(share float64) {
	b.share = share
	if share <= 0 {
		b.share = -1
	}
}

func (b *Budget) earned() float64 {
	if b.share == 0 {
		return defaultShare
	}
	return max(b.share, 0)
}

// Tokens returns how many retries the budget has left.
func (b *Budget) Tokens() int {
	return int(mostTokens - b.spent)
}

// Take takes a token for a retry that needn't wait, such as another placement after a refusal because of the wait.
func (b *Budget) Take() bool {
	if b.spent+1 > mostTokens {
		return false
	}
	b.spent++
	return true
}

// Next returns when a task may be tried again, attempt being how often it was tried again before and work its expected
// run time; false if there is no token or it couldn't end before its deadline, and then nothing is taken.
func (b *Budget) Next(now, deadline time.Time, attempt int, work time.Duration, rng *rand.Rand) (time.Time, bool) {
	at := now.Add(jitter(attempt, rng))
	if at.Add(work).After(deadline) || !b.Take() {
		return time.Time{}, false
	}
	return at, true
}

// RetryAfter returns how long a refused caller is asked to wait, so that callers refused together come back apart.
func (b *Budget) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	return b.pacing.after(now, rng)
}

// jitter returns a random wait below a bound that doubles with each attempt.
func jitter(attempt int, rng *rand.Rand) time.Duration {
	bound := longWait
	if doublings := max(0, attempt); doublings < 6 {
		bound = min(longWait, firstWait<<doublings)
	}
	return time.Duration(rng.Int64N(int64(bound)) + 1)
}
