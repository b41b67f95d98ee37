package lessor

import (
	"slices"
	"strings"
	"time"

	"persimmonstage/core/needs"
)

const (
	// reportedFor is how long the usage of an ended lease is reported, so that a reader that polls once a second sees it.
	reportedFor = 3 * time.Second
	// tombstoneFor is how long the key of an ended lease is refused, so that a delayed take request has no effect.
	tombstoneFor      = time.Minute
	throttledFraction = 0.5 // fraction of its cores that a throttled task still uses
)

// lease is a lease in requests and answers.
type lease struct {
	Key     string       `json:"key"`
	Team    string       `json:"team"`
	Kind    string       `json:"kind"`
	Needs   needs.Vector `json:"needs"`
	Expires time.Time    `json:"expires"`
}

// record is a lease that was taken, in force or ended.
type record struct {
	lease     lease
	taken     time.Time
	ended     time.Time // zero while in force
	throttled time.Time // zero while the task is not throttled
}

// end returns when the lease ended or expires; the second result is false while it is in force.
func (e *record) end(now time.Time) (time.Time, bool) {
	if !e.ended.IsZero() {
		return e.ended, true
	}
	return e.lease.Expires, !now.Before(e.lease.Expires)
}

// counts holds the service's counters, for tests.
type counts struct {
	Takes       int `json:"takes"`  // requests, repeated ones too
	Leases      int `json:"leases"` // distinct keys
	Renewals    int `json:"renewals"`
	Ends        int `json:"ends"`
	Throttles   int `json:"throttles"`
	Checkpoints int `json:"checkpoints"`
	Stops       int `json:"stops"`
	Resumes     int `json:"resumes"`
	InForce     int `json:"in-force"`
	Most        int `json:"most-at-once"`

	// Throttled and Stopped count by kind; checkpointed tasks count as stopped.
	Throttled map[string]int `json:"throttled-by-kind"`
	Stopped   map[string]int `json:"stopped-by-kind"`
}

// leaseTable holds the leases; the server's lock guards it.
type leaseTable struct {
	leases map[string]*record
	live   map[string]*record // those that have not ended; some may have expired
	counts counts
}

// take records a lease unless its key is already recorded; false means that the recorded lease has ended.
func (b *leaseTable) take(l lease, now time.Time) (lease, bool) {
	b.counts.Takes++
	if e := b.leases[l.Key]; e != nil {
		_, ended := e.end(now)
		return e.lease, !ended
	}
	e := &record{lease: l, taken: now}
	b.leases[l.Key], b.live[l.Key] = e, e
	b.counts.Leases++
	b.counts.Most = max(b.counts.Most, b.countInForce(now))
	return l, true
}

// renew sets the expiry of leases and returns the keys of those that are not in force.
func (b *leaseTable) renew(keys []string, expires, now time.Time) []string {
	gone := []string{}
	for _, key := range keys {
		e := b.recordInForce(key, now)
		if e == nil {
			gone = append(gone, key)
			continue
		}
		e.lease.Expires = expires
		b.counts.Renewals++
	}
	return gone
}

func (b *leaseTable) end(keys []string, now time.Time) {
	for _, key := range keys {
		if e := b.recordInForce(key, now); e != nil {
			b.finish(e, now)
			b.counts.Ends++
		}
	}
}

// act applies a guard's action; a repeated action, or one on a lease that is not in force, has no effect.
func (b *leaseTable) act(verb, key string, now time.Time) {
	e := b.recordInForce(key, now)
	if e == nil {
		return
	}
	switch verb {
	case "throttle":
		if e.throttled.IsZero() {
			b.counts.Throttles++
			b.counts.Throttled[e.lease.Kind]++
			e.throttled = now
		}
	case "resume":
		if !e.throttled.IsZero() {
			b.counts.Resumes++
			e.throttled = time.Time{}
		}
	case "checkpoint":
		b.counts.Checkpoints++
		b.stop(e, now)
	case "stop":
		b.counts.Stops++
		b.stop(e, now)
	}
}

func (b *leaseTable) stop(e *record, now time.Time) {
	b.finish(e, now)
	b.counts.Stopped[e.lease.Kind]++
}

func (b *leaseTable) finish(e *record, now time.Time) {
	e.ended = now
	delete(b.live, e.lease.Key)
}

func (b *leaseTable) recordInForce(key string, now time.Time) *record {
	e := b.leases[key]
	if e == nil {
		return nil
	}
	if _, ended := e.end(now); ended {
		return nil
	}
	return e
}

func (b *leaseTable) countInForce(now time.Time) int {
	for key := range b.live {
		if b.recordInForce(key, now) == nil {
			delete(b.live, key)
		}
	}
	return len(b.live)
}

// usage is what the task of one lease used at one time.
type usage struct {
	Key      string    `json:"key"`
	Cores    int       `json:"cores"`
	MemoryMB int       `json:"memory-mb"`
	At       time.Time `json:"at"`
}

// usage returns what each task used at the time lag before now.
func (b *leaseTable) usage(set faultSettings, lag time.Duration, now time.Time) []usage {
	b.removeOld(now)
	seen := now.Add(-lag)
	out := []usage{}
	for _, e := range b.leases {
		at := seen
		if end, ended := e.end(now); ended && end.Before(at) {
			at = end
		}
		if e.taken.After(at) || seen.Sub(at) > reportedFor {
			continue
		}
		out = append(out, e.usage(set, at))
	}
	slices.SortFunc(out, func(a, b usage) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (e *record) usage(set faultSettings, at time.Time) usage {
	cores := float64(e.lease.Needs.Cores) * factorOrOne(set.CoresFactor)
	if !e.throttled.IsZero() && !at.Before(e.throttled) {
		cores *= throttledFraction
	}
	memory := float64(e.lease.Needs.MemoryMB) * factorOrOne(set.MemoryFactor)
	return usage{Key: e.lease.Key, Cores: int(cores), MemoryMB: int(memory), At: at}
}

// removeOld removes ended leases for which no delayed take request is expected any more.
func (b *leaseTable) removeOld(now time.Time) {
	for key, e := range b.leases {
		if end, ended := e.end(now); ended && now.Sub(end) > tombstoneFor {
			delete(b.leases, key)
		}
	}
}
