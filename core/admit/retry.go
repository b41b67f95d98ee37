package admit

import "time"

const (
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// refuse completes a refusal and sets the time at which the caller should retry.
func (g *Gate) refuse(k *kind, r *Request, e RefusedError, now time.Time) error {
	e.Team = r.Team
	e.Kind = r.Kind
	switch {
	case e.Reason == Expired || e.Reason == TooLarge:
	case k == nil:
		e.Retry = now.Add(g.randomBetween(minRetry, maxRetry))
	default:
		e.Retry = g.retryAt(k, r, &e, now)
	}
	return &e
}

// retryAt assigns the refused callers of a share successive retry times at the share's service rate; times beyond
// maxRetry are replaced by random ones spread evenly up to maxRetry.
func (g *Gate) retryAt(k *kind, r *Request, e *RefusedError, now time.Time) time.Time {
	base := g.retryDelay(k, r, e, now)
	earliest := now.Add(base)
	if k.lastRetry.Before(earliest) {
		k.lastRetry = earliest
	}
	if latest := now.Add(maxRetry); !k.lastRetry.Before(latest) {
		k.lastRetry = latest
		return now.Add(g.randomBetween(base, maxRetry))
	}
	at := k.lastRetry.Add(g.randomBetween(0, base))
	k.lastRetry = k.lastRetry.Add(serviceTime(r.work(), g.rate(k, r)))
	return at
}

// retryDelay returns the time after which the reason of a refusal is expected to be gone.
func (g *Gate) retryDelay(k *kind, r *Request, e *RefusedError, now time.Time) time.Duration {
	var d time.Duration
	switch e.Reason {
	case DeadlineTooNear, OverQuota:
		d = e.Wait + r.Run - r.Deadline.Sub(now)
	default:
		d = serviceTime(r.work(), g.rate(k, r))
	}
	return min(max(d, minRetry), maxRetry)
}

func (g *Gate) randomBetween(from, to time.Duration) time.Duration {
	if g.rng == nil {
		return from
	}
	return from + time.Duration(g.rng.Float64()*float64(to-from))
}
