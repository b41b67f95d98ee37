package entset

import (
	"strings"
	"time"

	"persimmonstage/core/place"
	"persimmonstage/io/addr"
	"persimmonstage/io/strict"
)

// Settings is what an entry reads from its TOML file; times are in milliseconds.
type Settings struct {
	Name       string   `toml:"name"`
	DataCentre string   `toml:"data-centre"`
	HTTP       string   `toml:"http"`
	Control    string   `toml:"control"`
	Bulk       string   `toml:"bulk"`
	Log        string   `toml:"log"`
	Peers      []string `toml:"peers"`
	TimeZone   string   `toml:"time-zone"`
	Access     string   `toml:"access"`
	Bootstrap  string   `toml:"bootstrap"`
	// Placement names the policy by which tasks are placed.
	Placement string `toml:"placement"`
	Timing    struct {
		HeartbeatMS int `toml:"heartbeat-ms"`
		SuspectMS   int `toml:"suspect-ms"`
		GraceMS     int `toml:"grace-ms"`
		DrainMS     int `toml:"drain-ms"`
		RoundTripMS int `toml:"round-trip-ms"`
	} `toml:"timing"`
}

// Bounds and defaults of the settings.
const (
	defaultHeartbeatMS = 500
	defaultSuspectMS   = 2000
	defaultGraceMS     = 2000
	defaultDrainMS     = 30_000
	defaultRoundTripMS = 2
	minHeartbeatMS     = 50
)

// Load reads and checks the settings of file; the error is a *strict.Error with file, line and key.
func Load(file string, data []byte) (*Settings, error) {
	s := &Settings{TimeZone: "UTC", Access: "tokens", Placement: place.Bounded.String()}
	s.Timing.HeartbeatMS = defaultHeartbeatMS
	s.Timing.SuspectMS = defaultSuspectMS
	s.Timing.GraceMS = defaultGraceMS
	s.Timing.DrainMS = defaultDrainMS
	s.Timing.RoundTripMS = defaultRoundTripMS
	if err := strict.Decode(file, data, s); err != nil {
		return nil, err
	}
	if key, reason := s.check(); key != "" {
		return nil, strict.At(file, data, key, reason)
	}
	return s, nil
}

func (s *Settings) check() (key, reason string) {
	const form = "not an address of the form IP:PORT"
	switch {
	case s.Name == "":
		return "name", "missing"
	case s.DataCentre == "":
		return "data-centre", "missing"
	case !addr.Valid(s.HTTP):
		return "http", form
	case !addr.Valid(s.Control):
		return "control", form
	case !addr.Valid(s.Bulk):
		return "bulk", form
	case !addr.Valid(s.Log):
		return "log", form
	}
	if s.Access != "tokens" && s.Access != "open" {
		return "access", "\"" + s.Access + "\" is neither \"tokens\" nor \"open\""
	}
	if _, err := time.LoadLocation(s.TimeZone); err != nil {
		return "time-zone", err.Error()
	}
	if _, ok := place.Named(s.Placement); !ok {
		return "placement", "not a policy; the policies are " + strings.Join(place.Names(), ", ")
	}
	for _, p := range s.Peers {
		if !addr.Valid(p) {
			return "peers", "\"" + p + "\" is " + form
		}
	}
	return s.checkTiming()
}

func (s *Settings) checkTiming() (key, reason string) {
	t := &s.Timing
	switch {
	case t.HeartbeatMS < minHeartbeatMS:
		return "timing.heartbeat-ms", "too short, at least 50"
	case t.SuspectMS < 2*t.HeartbeatMS:
		return "timing.suspect-ms", "too short, at least two heartbeats"
	case t.GraceMS < 2*t.HeartbeatMS:
		return "timing.grace-ms", "too short, at least two heartbeats"
	case t.DrainMS < 0:
		return "timing.drain-ms", "negative, at least 0"
	case t.RoundTripMS < 0:
		return "timing.round-trip-ms", "negative, at least 0"
	}
	return "", ""
}
