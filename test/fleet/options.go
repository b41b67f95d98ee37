package fleet

import (
	"fmt"
	"strconv"
)

// Options are what a fleet may differ in; the zero value is the program's defaults.
type Options struct {
	// Speeds are the targets' speeds, over and over; none means 1.
	Speeds []float64
	// Placement is the entries' placement policy.
	Placement string
	// HeartbeatMS is the time between heartbeats of entries and agents.
	HeartbeatMS int
	// Leases gives each agent a stand-in lease service, called leases-1 and so on.
	Leases bool
	// SuspectMS is the silence after which an entry is suspected.
	SuspectMS int
	// GraceMS is how long an answered heartbeat is trusted.
	GraceMS int
	// Relayed puts a relay in front of each entry's control and bulk ports, which Cut then switches.
	Relayed bool
}

func (o *Options) speed(i int) string {
	if len(o.Speeds) == 0 {
		return "1"
	}
	return strconv.FormatFloat(o.Speeds[i%len(o.Speeds)], 'g', -1, 64)
}

func (o *Options) entryKeys() string {
	keys := ""
	if o.Placement != "" {
		keys = fmt.Sprintf("placement = %q\n", o.Placement)
	}
	return keys + o.timing() + number("suspect-ms", o.SuspectMS)
}

// usageLag is by how much the lease services' usage reports are late.
const usageLag = "200ms"

// startLeases starts the lease service of an agent, if it has one, and gives the agent's key for it.
func (f *Fleet) startLeases(i int) string {
	if !f.options.Leases {
		return ""
	}
	name := fmt.Sprintf("leases-%d", i+1)
	f.HTTP[name] = freeAddr(f.t)
	f.Start(name, "stand-in", "leases", "--listen", f.HTTP[name], "--lag", usageLag)
	f.awaitPort(f.HTTP[name])
	return fmt.Sprintf("leases = %q\n", f.HTTP[name])
}

func (o *Options) agentKeys() string { return o.timing() }

func (o *Options) timing() string {
	return "[timing]\n" + number("heartbeat-ms", o.HeartbeatMS) + number("grace-ms", o.GraceMS)
}

func number(key string, n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%s = %d\n", key, n)
}

// PID gives the process id of a process, to measure it.
func (f *Fleet) PID(name string) int { return f.proc(name).Process.Pid }

// Names gives the names of n entries, n agents or n targets, by the word that they begin with.
func Names(word string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", word, i+1)
	}
	return names
}
