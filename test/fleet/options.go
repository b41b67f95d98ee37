package fleet

import (
	"fmt"
	"strconv"
)

// Options configure a fleet; the zero value gives the program's defaults.
type Options struct {
	// Speeds are the targets' speeds, repeated as needed; if empty, every speed is 1.
	Speeds []float64
	// Placement is the entries' placement policy.
	Placement string
	// HeartbeatMS is the time between heartbeats of entries and agents.
	HeartbeatMS int
	// Leases gives each agent a stand-in lease service, called leases-1 and so on.
	Leases bool
	// SuspectMS is the time without a heartbeat after which an entry is suspected to be dead.
	SuspectMS int
	// GraceMS is the time for which an agent relies on an answered heartbeat.
	GraceMS int
	// Relayed puts a relay in front of each entry's control and bulk ports, as Cut needs.
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
	return keys + o.timing() + intSetting("suspect-ms", o.SuspectMS)
}

// usageLag is the delay of the lease services' usage reports.
const usageLag = "200ms"

// startLeases starts an agent's lease service, if the options ask for one, and returns the agent's setting for it.
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
	return "[timing]\n" + intSetting("heartbeat-ms", o.HeartbeatMS) + intSetting("grace-ms", o.GraceMS)
}

func intSetting(key string, n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%s = %d\n", key, n)
}

// PID returns the id of a process, for measurements of it.
func (f *Fleet) PID(name string) int { return f.proc(name).Process.Pid }

// Names returns the names of n entries, agents or targets, such as entry-1, by the word that they begin with.
func Names(word string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", word, i+1)
	}
	return names
}
