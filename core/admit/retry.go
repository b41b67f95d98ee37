package admit

import "time"

const (
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// refuse completes a refusal and gives the caller a time to come again.
func (g *Gate) refuse(k *kind, r *Request, e RefusedError, now time.Time) error {
	e.Team = r.Team
	e.Kind = r.Kind
	switch {
	case e.Reason == Expired || e.Reason == TooLarge:
	case k == nil:
		e.Retry = now.Add(g.spread(minRetry, maxRetry))
	default:
		e.Retry = g.retryAt(k, r, &e, now)
	}
	return &e
}

// retryAt gives refused callers of a share times that follow each other at the rate at which the share is served; when
// these are too far away they are spread evenly up to the longest retry.
func (g *Gate) retryAt(k *kind, r *Request, e *RefusedError, now time.Time) time.Time {
	base := g.patience(k, r, e, now)
	earliest := now.Add(base)
	if k.retry.Before(earliest) {
		k.retry = earliest
	}
	if latest := now.Add(maxRetry); !k.retry.Before(latest) {
		k.retry = latest
		return now.Add(g.spread(base, maxRetry))
	}
	at := k.retry.Add(g.spread(0, base))
	k.retry = k.retry.Add(span(r.work(), g.rate(k, r)))
	return at
}

// patience returns the time after which the reason of a refusal should have passed.
func (g *Gate) patience(k *kind, r *Request, e *RefusedError, now time.Time) time.Duration {
	var d time.Duration
	switch e.Reason {
	case DeadlineTooNear, OverQuota:
		d = e.Wait + r.Run - r.Deadline.Sub(now)
	default:
		d = span(r.work(), g.rate(k, r))
	}
	return min(max(d, minRetry), maxRetry)
}

func (g *Gate) spread(from, to time.Duration) time.Duration {
	if g.rng == nil {
		return from
	}
	return from + time.Duration(g.rng.Float64()*float64(to-from))
}
