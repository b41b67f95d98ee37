package admit

import (
	"math"
	"time"
)

// SetFleetRate sets the host-seconds of work that the whole fleet does per second; with zero, which means unknown, no
// job is refused for its expected wait.
func (g *Gate) SetFleetRate(rate float64) { g.fleet = rate }

// Report sets what agents report of a share, valid until expires: the host-seconds waiting in their queues and the
// host-seconds that they serve per second.
func (g *Gate) Report(teamName, kindName string, waiting, rate float64, now, expires time.Time) {
	k := g.share(teamName, kindName, now)
	if k == nil {
		return
	}
	k.waiting = waiting
	k.rate = rate
	k.sent = 0
	k.expires = expires
	g.updateActive(k)
}

// Expire drops expired reports; call it about once a second.
func (g *Gate) Expire(now time.Time) {
	for _, t := range g.teams {
		for _, k := range t.kinds {
			if !k.expires.IsZero() && !k.expires.After(now) {
				k.waiting = 0
				k.rate = 0
				k.expires = time.Time{}
				g.updateActive(k)
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
	return serviceTime(k.backlog(), g.rate(k, &Request{}))
}

// lastTaskWait returns the expected time until the last task of a job starts.
func (g *Gate) lastTaskWait(k *kind, r *Request) time.Duration {
	work := k.backlog()*k.admitted.fractionAhead(r) + r.work() - r.workPerTask()
	return serviceTime(work, g.rate(k, r))
}

func (k *kind) backlog() float64 {
	return k.unsent + k.sent + k.waiting
}

// rate returns the host-seconds per second that a share gets; zero means unknown.
func (g *Gate) rate(k *kind, r *Request) float64 {
	if g.fleet <= 0 {
		return 0
	}
	t := k.team
	rate := max(k.rate, g.fleet*t.activeFraction(g.weights)*k.activeFraction(t.weights))
	if t.quota.Running > 0 && r.Tasks > 0 {
		rate = min(rate, float64(t.quota.Running)*r.hostFraction())
	}
	return rate
}

// serviceTime returns the time to do work at a rate, at most a year.
func serviceTime(work, rate float64) time.Duration {
	const year = 365 * 24 * time.Hour
	if rate <= 0 {
		return 0
	}
	return seconds(math.Min(work/rate, year.Seconds()))
}

// FleetFraction returns the fraction of the fleet, 0 to 1, that a team gets among the teams active at this entry.
func (g *Gate) FleetFraction(teamName string) float64 {
	t := g.teams[teamName]
	if t == nil {
		return 0
	}
	return t.activeFraction(g.weights)
}
