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
	driftDivisor    = 16 // the wait for the grace is longer by a sixteenth, for clocks that run at different rates
)

// Config is what a group must know of its process and of the settings that all entries and agents share; zero durations and
// counts take the defaults.
type Config struct {
	Self              member.Member // this process, which already listens on the addresses
	Shards            int           // shards of a map that this process proposes as the first
	HeartbeatInterval time.Duration // between heartbeats to a peer, and between retries
	Suspect           time.Duration // silence after which a member is suspected
	Grace             time.Duration // how long an agent trusts an answered stamp: the same value as at every fence
	Lifetime          time.Duration // longest time from a task's start to the expiry of its record
	Refresh           time.Duration // age at which the map is appended again, below the log's retention; 0 for never
}

func (c Config) withDefaults() Config {
	orInt(&c.Shards, defaultShards)
	orTime(&c.HeartbeatInterval, defaultBeat)
	orTime(&c.Suspect, defaultSuspect)
	orTime(&c.Grace, defaultGrace)
	orTime(&c.Lifetime, defaultLifetime)
	return c
}

// wait is how long the grace can last at an agent whose clock runs slower.
func (c Config) wait() time.Duration { return c.Grace + c.Grace/driftDivisor }

func orInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

func orTime(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
