package admit

import "time"

// Quota limits a team at one entry; a zero field sets no limit.
type Quota struct {
	Starts  float64 // task starts per second
	Burst   float64 // starts allowed at once after a pause; below 1 means one second of Starts
	Running int64   // tasks that run at the same time
}

// SetQuota sets the limits of a team.
func (g *Gate) SetQuota(teamName string, quota Quota) {
	g.init()
	t := g.team(teamName)
	t.configured = true
	t.quota = quota
}

// MayStart reports whether the team's quota allows one more running task.
func (g *Gate) MayStart(teamName string) bool {
	t, ok := g.teams[teamName]
	return !ok || t.quota.Running <= 0 || t.running < t.quota.Running
}

// readyAt returns when the quota, with its burst, covers the starts admitted so far.
func (t *team) readyAt(now time.Time) time.Time {
	if t.quota.Starts <= 0 {
		return now
	}
	ready := t.coveredAt.Add(-t.quota.burst())
	if ready.Before(now) {
		return now
	}
	return ready
}

// bookStarts charges n starts to the quota.
func (t *team) bookStarts(n int64, now time.Time) {
	if t.quota.Starts <= 0 {
		return
	}
	if t.coveredAt.Before(now) {
		t.coveredAt = now
	}
	t.coveredAt = t.coveredAt.Add(seconds(float64(n) / t.quota.Starts))
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
