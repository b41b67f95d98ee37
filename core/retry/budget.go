package retry

import (
	"math/rand/v2"
	"time"
)

const (
	defaultShare = 0.1 // retries that each start earns
	maxTokens    = 100 // retries that can be saved up
	firstDelay   = 5 * time.Millisecond
	maxDelay     = 250 * time.Millisecond
)

// Budget limits retries to a share of the starts: each start adds a fraction of a token, each retry takes one. When a data
// centre fails, all tasks sent to it are refused at once while starts become fewer, so retries become fewer too and there is
// no retry storm. The zero value is a full budget. A Budget must be used from one goroutine.
type Budget struct {
	spent  float64 // tokens below a full budget
	share  float64 // zero means defaultShare, negative means no retries
	pacing pacing
}

// Started counts a start.
func (b *Budget) Started(now time.Time) {
	b.spent = max(0, b.spent-b.tokensPerStart())
	b.pacing.addStart(now)
}

// SetShare sets the retries that each start earns, 0 to 1.
func (b *Budget) SetShare(share float64) {
	b.share = share
	if share <= 0 {
		b.share = -1
	}
}

func (b *Budget) tokensPerStart() float64 {
	if b.share == 0 {
		return defaultShare
	}
	return max(b.share, 0)
}

// Tokens returns how many retries the budget has left.
func (b *Budget) Tokens() int {
	return int(maxTokens - b.spent)
}

// Take takes a token for an immediate retry, such as another placement after a refusal because of the expected wait.
func (b *Budget) Take() bool {
	if b.spent+1 > maxTokens {
		return false
	}
	b.spent++
	return true
}

// Next returns when a task may be retried, where attempt is the number of its retries so far and work its expected run time.
// It returns false, and takes no token, if the budget is empty or the task couldn't end before its deadline.
func (b *Budget) Next(now, deadline time.Time, attempt int, work time.Duration, rng *rand.Rand) (time.Time, bool) {
	at := now.Add(jitter(attempt, rng))
	if at.Add(work).After(deadline) || !b.Take() {
		return time.Time{}, false
	}
	return at, true
}

// RetryAfter returns how long a refused caller should wait, spread so that callers refused together don't return together.
func (b *Budget) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	return b.pacing.retryAfter(now, rng)
}

// jitter returns a random delay below a bound that doubles with each attempt.
func jitter(attempt int, rng *rand.Rand) time.Duration {
	bound := maxDelay
	if doublings := max(0, attempt); doublings < 6 {
		bound = min(maxDelay, firstDelay<<doublings)
	}
	return time.Duration(rng.Int64N(int64(bound)) + 1)
}
