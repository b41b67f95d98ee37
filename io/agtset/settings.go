package agtset

import (
	"math"
	"strconv"

	"persimmonstage/core/needs"
	"persimmonstage/io/addr"
	"persimmonstage/io/rlimit"
	"persimmonstage/io/strict"
)

// Settings holds an agent's settings, read from its TOML file; times are in milliseconds.
type Settings struct {
	Name       string       `toml:"name" doc:"the target's name everywhere; required"`
	DataCentre string       `toml:"data-centre" doc:"the data centre where it stands; required"`
	Host       string       `toml:"host" doc:"the host's name or IP, by which it can be drained"`
	Rack       string       `toml:"rack" doc:"the rack, over which the tasks of a job are spread"`
	Target     string       `toml:"target" doc:"the target's URL, http://IP:PORT; required"`
	HTTP       string       `toml:"http" doc:"IP:PORT for readiness, state and metrics; required"`
	Entries    []string     `toml:"entries" doc:"bulk addresses of entries, of which one has to answer at the start; required"`
	Leases     string       `toml:"leases" doc:"IP:PORT of the platform's lease service of this worker; empty where starts need no lease"`
	Capacity   needs.Vector `toml:"capacity"`
	Timing     struct {
		HeartbeatMS int `toml:"heartbeat-ms" doc:"time between heartbeats to each entry, at least 50; default 500"`
		GraceMS     int `toml:"grace-ms" doc:"how long an answered heartbeat is trusted, at least two heartbeats and the same at every entry and agent; default 2000"`
		DrainMS     int `toml:"drain-ms" doc:"the longest time from SIGTERM to the end; default 30000"`
	} `toml:"timing"`
	Limits rlimit.Limits `toml:"limits"`
}

// Bounds and defaults of the settings.
const (
	defaultHeartbeatMS = 500
	defaultGraceMS     = 2000
	defaultDrainMS     = 30_000
	minHeartbeatMS     = 50
	maxTimingMS        = 3_600_000
	maxCapacity        = math.MaxInt32
)

// Load reads and checks the settings of file; the error is a *strict.Error with file, line and key.
func Load(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	s.Timing.HeartbeatMS = defaultHeartbeatMS
	s.Timing.GraceMS = defaultGraceMS
	s.Timing.DrainMS = defaultDrainMS
	if err := strict.Load(file, data, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

const (
	missing    = "missing"
	notAddress = " is not an address of the form IP:PORT"
)

func (s *Settings) check() (key, reason string) {
	switch {
	case s.Name == "":
		return "name", missing
	case s.DataCentre == "":
		return "data-centre", missing
	case s.Target == "":
		return "target", missing
	case !addr.ValidBase(s.Target):
		return "target", strconv.Quote(s.Target) + " is not a URL of the form http://IP:PORT"
	case s.HTTP == "":
		return "http", missing
	case !addr.Valid(s.HTTP):
		return "http", strconv.Quote(s.HTTP) + notAddress
	case s.Leases != "" && !addr.Valid(s.Leases):
		return "leases", strconv.Quote(s.Leases) + notAddress
	case len(s.Entries) == 0:
		return "entries", "missing, at least 1"
	}
	for _, e := range s.Entries {
		if !addr.Valid(e) {
			return "entries", strconv.Quote(e) + notAddress
		}
	}
	if key, reason = s.checkCapacity(); key != "" {
		return key, reason
	}
	return s.checkTiming()
}

func (s *Settings) checkCapacity() (key, reason string) {
	limit := needs.Vector{Slots: maxCapacity, Cores: maxCapacity, MemoryMB: maxCapacity, Accelerators: maxCapacity}
	switch {
	case s.Capacity == (needs.Vector{}):
		return "capacity", "missing, at least 1 of something"
	case s.Capacity.FirstNegative() != "":
		return "capacity." + s.Capacity.FirstNegative(), "negative, at least 0"
	case s.Capacity.FirstExceeding(limit) != "":
		return "capacity." + s.Capacity.FirstExceeding(limit), "too large, at most " + strconv.Itoa(maxCapacity)
	}
	return "", ""
}

func (s *Settings) checkTiming() (key, reason string) {
	t := &s.Timing
	tooLong := "too long, at most " + strconv.Itoa(maxTimingMS)
	switch {
	case t.HeartbeatMS < minHeartbeatMS:
		return "timing.heartbeat-ms", "too short, at least 50"
	case t.HeartbeatMS > maxTimingMS:
		return "timing.heartbeat-ms", tooLong
	case t.GraceMS < 2*t.HeartbeatMS:
		return "timing.grace-ms", "too short, at least two heartbeats"
	case t.GraceMS > maxTimingMS:
		return "timing.grace-ms", tooLong
	case t.DrainMS < 0:
		return "timing.drain-ms", "negative, at least 0"
	case t.DrainMS > maxTimingMS:
		return "timing.drain-ms", tooLong
	}
	return s.Limits.Check()
}
