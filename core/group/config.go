package group

import (
	"time"

	"persimmonstage/core/member"
)

const (
	defaultShards   = 64
	defaultBeat     = 200 * time.Millisecond
	defaultSuspect  = 1500 * time.Millisecond
	defaultGrace    = 2 * time.Second
	defaultLifetime = 5 * time.Minute
	driftDivisor    = 16 // the grace is extended by a sixteenth, since clocks run at different rates
)

// Config holds the description of this process and the settings that all entries and agents share; zero durations and counts
// take the defaults.
type Config struct {
	Self              member.Member // this process, which already listens on the addresses
	Shards            int           // number of shards if this process proposes the first map
	HeartbeatInterval time.Duration // between heartbeats to a peer, and between retries
	Suspect           time.Duration // silence after which a member is suspected
	Grace             time.Duration // how long an agent accepts an answered stamp; must be the same as at every fence
	Lifetime          time.Duration // longest time from a task's start to the expiry of its record
	Refresh           time.Duration // age at which the map is appended again, below the log's retention; 0 disables it
}

func (c Config) withDefaults() Config {
	defaultInt(&c.Shards, defaultShards)
	defaultDuration(&c.HeartbeatInterval, defaultBeat)
	defaultDuration(&c.Suspect, defaultSuspect)
	defaultDuration(&c.Grace, defaultGrace)
	defaultDuration(&c.Lifetime, defaultLifetime)
	return c
}

// wait returns how long the grace can last at an agent whose clock runs slower.
func (c Config) wait() time.Duration { return c.Grace + c.Grace/driftDivisor }

func defaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
