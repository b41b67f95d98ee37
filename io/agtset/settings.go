package agtset

import (
	"persimmonstage/core/needs"
	"persimmonstage/io/addr"
	"persimmonstage/io/strict"
)

// Settings is what an agent reads from its TOML file; times are in milliseconds.
type Settings struct {
	Name       string       `toml:"name"`
	DataCentre string       `toml:"data-centre"`
	Host       string       `toml:"host"`
	Rack       string       `toml:"rack"`
	Target     string       `toml:"target"`
	HTTP       string       `toml:"http"`
	Entries    []string     `toml:"entries"`
	Capacity   needs.Vector `toml:"capacity"`
	Timing     struct {
		HeartbeatMS int `toml:"heartbeat-ms"`
		GraceMS     int `toml:"grace-ms"`
		DrainMS     int `toml:"drain-ms"`
	} `toml:"timing"`
}

// Bounds and defaults of the settings.
const (
	defaultHeartbeatMS = 500
	defaultGraceMS     = 2000
	defaultDrainMS     = 30_000
	minHeartbeatMS     = 50
)

// Load reads and checks the settings of file; the error is a *strict.Error with file, line and key.
func Load(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	s.Timing.HeartbeatMS = defaultHeartbeatMS
	s.Timing.GraceMS = defaultGraceMS
	s.Timing.DrainMS = defaultDrainMS
	if err := strict.Decode(file, data, s); err != nil {
		return nil, err
	}
	if key, reason := s.check(); key != "" {
		return nil, strict.At(file, data, key, reason)
	}
	return s, nil
}

func (s *Settings) check() (key, reason string) {
	switch {
	case s.Name == "":
		return "name", "missing"
	case s.DataCentre == "":
		return "data-centre", "missing"
	case !addr.ValidBase(s.Target):
		return "target", "not a URL of the form http://IP:PORT"
	case !addr.Valid(s.HTTP):
		return "http", "not an address of the form IP:PORT"
	case len(s.Entries) == 0:
		return "entries", "missing, at least 1"
	case s.Capacity == (needs.Vector{}):
		return "capacity", "missing, at least 1 of something"
	case s.Capacity.Negative() != "":
		return "capacity." + s.Capacity.Negative(), "negative, at least 0"
	case s.Timing.HeartbeatMS < minHeartbeatMS:
		return "timing.heartbeat-ms", "too short, at least 50"
	case s.Timing.GraceMS < 2*s.Timing.HeartbeatMS:
		return "timing.grace-ms", "too short, at least two heartbeats"
	case s.Timing.DrainMS < 0:
		return "timing.drain-ms", "negative, at least 0"
	}
	for _, e := range s.Entries {
		if !addr.Valid(e) {
			return "entries", "\"" + e + "\" is not an address of the form IP:PORT"
		}
	}
	return "", ""
}
