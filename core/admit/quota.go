package admit

import "time"

// Quota limits a team at one entry; a zero field sets no limit.
type Quota struct {
	Starts  float64 // task starts a second
	Burst   float64 // starts at once after a pause; below 1 counts as one second of Starts
	Running int64   // tasks running at the same time
}

// SetQuota sets the limits of a team.
func (g *Gate) SetQuota(teamName string, quota Quota) {
	g.init()
	t := g.team(teamName)
	t.kept = true
	t.quota = quota
}

// MayStart reports whether the team's quota lets one more of its tasks run.
func (g *Gate) MayStart(teamName string) bool {
	t, ok := g.teams[teamName]
	return !ok || t.quota.Running <= 0 || t.running < t.quota.Running
}

// ready returns when the quota covers the starts admitted before, less a burst.
func (t *team) ready(now time.Time) time.Time {
	if t.quota.Starts <= 0 {
		return now
	}
	ready := t.paid.Add(-t.quota.burst())
	if ready.Before(now) {
		return now
	}
	return ready
}

// pay books n starts.
func (t *team) pay(n int64, now time.Time) {
	if t.quota.Starts <= 0 {
		return
	}
	if t.paid.Before(now) {
		t.paid = now
	}
	t.paid = t.paid.Add(seconds(float64(n) / t.quota.Starts))
}

func (q *Quota) burst() time.Duration {
	if q.Burst < 1 {
		return time.Second
	}
	return seconds(q.Burst / q.Starts)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
