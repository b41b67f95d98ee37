package admit

import (
	"math"
	"time"
)

// SetFleetRate sets the host-seconds of work that the whole fleet does in a second; zero means unknown, and then no job is
// refused for its expected wait.
func (g *Gate) SetFleetRate(rate float64) { g.fleet = rate }

// Report sets what the agents say of a share: the host-seconds of it that wait in their queues and the host-seconds
// that they serve in a second; it counts until it expires.
func (g *Gate) Report(teamName, kindName string, waiting, rate float64, now, expires time.Time) {
	k := g.share(teamName, kindName, now)
	if k == nil {
		return
	}
	k.waiting = waiting
	k.rate = rate
	k.sent = 0
	k.expires = expires
	g.setActive(k)
}

// Expire drops the reports that have expired; call it about once a second.
func (g *Gate) Expire(now time.Time) {
	for _, t := range g.teams {
		for _, k := range t.kinds {
			if !k.expires.IsZero() && !k.expires.After(now) {
				k.waiting = 0
				k.rate = 0
				k.expires = time.Time{}
				g.setActive(k)
			}
		}
	}
}

// Wait returns the expected time until a task of a new, patient job in a share starts.
func (g *Gate) Wait(teamName, kindName string, now time.Time) time.Duration {
	k := g.share(teamName, kindName, now)
	if k == nil {
		return 0
	}
	return span(k.backlog(), g.rate(k, &Request{}))
}

// lastStart returns the expected time until the last task of a job starts.
func (g *Gate) lastStart(k *kind, r *Request) time.Duration {
	work := k.backlog()*k.held.ahead(r) + r.work() - r.each()
	return span(work, g.rate(k, r))
}

func (k *kind) backlog() float64 {
	return k.unsent + k.sent + k.waiting
}

// rate returns the host-seconds a second that a share gets; zero means unknown.
func (g *Gate) rate(k *kind, r *Request) float64 {
	if g.fleet <= 0 {
		return 0
	}
	t := k.team
	rate := max(k.rate, g.fleet*t.activePart(g.weights)*k.activePart(t.weights))
	if t.quota.Running > 0 && r.Tasks > 0 {
		rate = min(rate, float64(t.quota.Running)*r.part())
	}
	return rate
}

// span returns the time to do work at a rate, at most a year.
func span(work, rate float64) time.Duration {
	const year = 365 * 24 * time.Hour
	if rate <= 0 {
		return 0
	}
	return seconds(math.Min(work/rate, year.Seconds()))
}

// FleetFraction returns the part of the fleet, 0 to 1, that a team gets beside those that have work at this entry now.
func (g *Gate) FleetFraction(teamName string) float64 {
	t := g.teams[teamName]
	if t == nil {
		return 0
	}
	return t.activePart(g.weights)
}
