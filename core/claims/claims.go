package claims

import (
	"maps"
	"time"

	"persimmonstage/core/gossip"
	"persimmonstage/core/times"
)

const (
	// maxClaim bounds for how long a claim that was received holds, and maxJobBytes the length of its job's id.
	maxClaim    = 10 * time.Second
	maxJobBytes = 64
	// sweepPeriod is the time between two removals of the claims that have ended.
	sweepPeriod = 500 * time.Millisecond
)

// Claim states that an entry's process may have runs of a job until a time.
type Claim struct {
	Job    string
	Holder uint64    // identifies the entry's process
	Serial uint64    // number of the claim among those of its holder
	Until  time.Time // by the clock of this host
}

// claimKey names a claim in every process.
type claimKey struct{ holder, serial uint64 }

// Claims are the claims that a process has made or received; the zero value is empty.
type Claims struct {
	notices gossip.Gossip[claimKey]
	byKey   map[claimKey]Claim
	byJob   map[string]time.Time // the latest end of the claims that were received
	sweepAt time.Time
}

// Make adds a claim of this process, which doesn't bar the process itself.
func (c *Claims) Make(now time.Time, claim Claim) { c.add(now, claim) }

// Receive adds a claim that another process made, and reports whether it is new and still holds.
func (c *Claims) Receive(now time.Time, claim Claim) bool {
	claim.Until = times.Earlier(claim.Until, now.Add(maxClaim))
	if !now.Before(claim.Until) || len(claim.Job) > maxJobBytes || !c.add(now, claim) {
		return false
	}
	c.byJob[claim.Job] = times.Later(c.byJob[claim.Job], claim.Until)
	return true
}

// Until returns until when other processes may have runs of a job; the zero time if none does.
func (c *Claims) Until(job string) time.Time { return c.byJob[job] }

// After returns the claims from a position on that still hold, a limited number at a time, and the position after them. A new connection
// begins at position 0.
func (c *Claims) After(now time.Time, pos uint64) ([]Claim, uint64) {
	for {
		keys, next := c.notices.After(now, pos)
		var list []Claim
		for _, k := range keys {
			if claim := c.byKey[k]; now.Before(claim.Until) {
				list = append(list, claim)
			}
		}
		if len(list) > 0 || len(keys) == 0 {
			return list, next
		}
		pos = next // those that have ended don't defer the others
	}
}

func (c *Claims) add(now time.Time, claim Claim) bool {
	if c.byKey == nil {
		c.byKey, c.byJob = make(map[claimKey]Claim), make(map[string]time.Time)
	}
	key := claimKey{claim.Holder, claim.Serial}
	if !c.notices.Add(now, key) {
		return false
	}
	c.byKey[key] = claim
	return true
}

// Expire removes, from time to time, the claims that don't hold any more.
func (c *Claims) Expire(now time.Time) {
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(sweepPeriod)
	maps.DeleteFunc(c.byKey, func(_ claimKey, claim Claim) bool { return !now.Before(claim.Until) })
	maps.DeleteFunc(c.byJob, func(_ string, until time.Time) bool { return !now.Before(until) })
}
