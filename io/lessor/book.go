package lessor

import (
	"slices"
	"strings"
	"time"

	"persimmonstage/core/needs"
)

const (
	// reportedFor is how long the usage of an ended lease is reported, so that a reader that asks once a second sees it.
	reportedFor = 3 * time.Second
	// tombstoneFor is how long an ended lease's key is kept out, so that a take that arrives late has no effect.
	tombstoneFor  = time.Minute
	throttledPart = 0.5 // of the cores that a throttled task goes on using
)

// lease is a lease as it is taken and answered.
type lease struct {
	Key     string       `json:"key"`
	Team    string       `json:"team"`
	Kind    string       `json:"kind"`
	Needs   needs.Vector `json:"needs"`
	Expires time.Time    `json:"expires"`
}

// entry is a lease that was taken, in force or ended.
type entry struct {
	lease     lease
	taken     time.Time
	ended     time.Time // zero while in force
	throttled time.Time // zero while it runs freely
}

// end returns when the lease ended or lapsed; the second result is false while it is in force.
func (e *entry) end(now time.Time) (time.Time, bool) {
	if !e.ended.IsZero() {
		return e.ended, true
	}
	return e.lease.Expires, !now.Before(e.lease.Expires)
}

// counts is what the service did, for tests.
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

// book holds the leases; the server's lock guards it.
type book struct {
	leases map[string]*entry
	live   map[string]*entry // the ones that have not ended; some may have lapsed
	counts counts
}

// take records a lease unless its key is known; false means that the lease has ended.
func (b *book) take(l lease, now time.Time) (lease, bool) {
	b.counts.Takes++
	if e := b.leases[l.Key]; e != nil {
		_, over := e.end(now)
		return e.lease, !over
	}
	e := &entry{lease: l, taken: now}
	b.leases[l.Key], b.live[l.Key] = e, e
	b.counts.Leases++
	b.counts.Most = max(b.counts.Most, b.inForce(now))
	return l, true
}

// renew moves the ends of leases and returns the keys of those that are not in force.
func (b *book) renew(keys []string, expires, now time.Time) []string {
	gone := []string{}
	for _, key := range keys {
		e := b.inForceAt(key, now)
		if e == nil {
			gone = append(gone, key)
			continue
		}
		e.lease.Expires = expires
		b.counts.Renewals++
	}
	return gone
}

func (b *book) end(keys []string, now time.Time) {
	for _, key := range keys {
		if e := b.inForceAt(key, now); e != nil {
			b.finish(e, now)
			b.counts.Ends++
		}
	}
}

// act carries out an action of a guard; repeated ones, and those on leases that are not in force, have no effect.
func (b *book) act(verb, key string, now time.Time) {
	e := b.inForceAt(key, now)
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

func (b *book) stop(e *entry, now time.Time) {
	b.finish(e, now)
	b.counts.Stopped[e.lease.Kind]++
}

func (b *book) finish(e *entry, now time.Time) {
	e.ended = now
	delete(b.live, e.lease.Key)
}

func (b *book) inForceAt(key string, now time.Time) *entry {
	e := b.leases[key]
	if e == nil {
		return nil
	}
	if _, over := e.end(now); over {
		return nil
	}
	return e
}

func (b *book) inForce(now time.Time) int {
	for key := range b.live {
		if b.inForceAt(key, now) == nil {
			delete(b.live, key)
		}
	}
	return len(b.live)
}

// usage is what one lease's task used at a time.
type usage struct {
	Key      string    `json:"key"`
	Cores    int       `json:"cores"`
	MemoryMB int       `json:"memory-mb"`
	At       time.Time `json:"at"`
}

// usage reports what tasks used a lag ago.
func (b *book) usage(set setting, lag time.Duration, now time.Time) []usage {
	b.forget(now)
	seen := now.Add(-lag)
	out := []usage{}
	for _, e := range b.leases {
		at := seen
		if end, over := e.end(now); over && end.Before(at) {
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

func (e *entry) usage(set setting, at time.Time) usage {
	cores := float64(e.lease.Needs.Cores) * factor(set.CoresFactor)
	if !e.throttled.IsZero() && !at.Before(e.throttled) {
		cores *= throttledPart
	}
	memory := float64(e.lease.Needs.MemoryMB) * factor(set.MemoryFactor)
	return usage{Key: e.lease.Key, Cores: int(cores), MemoryMB: int(memory), At: at}
}

// forget drops leases whose late repetitions can no longer come.
func (b *book) forget(now time.Time) {
	for key, e := range b.leases {
		if end, over := e.end(now); over && now.Sub(end) > tombstoneFor {
			delete(b.leases, key)
		}
	}
}
