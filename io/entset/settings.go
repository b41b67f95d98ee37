package entset

import (
	"strconv"
	"strings"
	"time"

	"persimmonstage/core/place"
	"persimmonstage/io/addr"
	"persimmonstage/io/rlimit"
	"persimmonstage/io/strict"
)

// Settings holds an entry's settings, read from its TOML file; times are in milliseconds unless stated.
type Settings struct {
	Name       string `toml:"name" doc:"the entry's name, the same after a restart; required"`
	DataCentre string `toml:"data-centre" doc:"the data centre where it stands; required"`
	HTTP       string `toml:"http" doc:"IP:PORT for callers, operators, the page and metrics; required"`
	Control    string `toml:"control" doc:"IP:PORT for small frames of agents and entries; required"`
	Bulk       string `toml:"bulk" doc:"IP:PORT for jobs, results, maps and configuration; required"`
	// AdvertiseControl and AdvertiseBulk are the addresses that agents and other entries dial instead of Control and Bulk.
	AdvertiseControl string   `toml:"advertise-control" doc:"IP:PORT at which others reach control, behind a port mapping; default control"`
	AdvertiseBulk    string   `toml:"advertise-bulk" doc:"IP:PORT at which others reach bulk, behind a port mapping; default bulk"`
	Log              string   `toml:"log" doc:"IP:PORT of the platform's log; required"`
	Peers            []string `toml:"peers" doc:"the other entries' bulk addresses, asked for map and configuration while the log is down"`
	TimeZone         string   `toml:"time-zone" doc:"the owner's, an IANA name; default UTC"`
	Access           string   "toml:\"access\" doc:\"`open`: nobody needs a token until a configuration is published; default `tokens`\""
	Bootstrap        string   `toml:"bootstrap" doc:"SHA-256 in hex of the token that may publish the first configuration"`
	// Placement is the name of the placement policy.
	Placement string "toml:\"placement\" doc:\"the policy by which tasks are placed; default `bounded`\""
	Timing    struct {
		HeartbeatMS int `toml:"heartbeat-ms" doc:"time between heartbeats to another entry, at least 50; default 500"`
		SuspectMS   int `toml:"suspect-ms" doc:"silence after which a member is suspected, at least two heartbeats; default 2000"`
		GraceMS     int `toml:"grace-ms" doc:"how long an agent trusts an answered heartbeat, the same at every entry and agent; default 2000"`
		DrainMS     int `toml:"drain-ms" doc:"the longest time from SIGTERM to the end; default 30000"`
		RoundTripMS int `toml:"round-trip-ms" doc:"the expected round trip between data centres; default 2"`
	} `toml:"timing"`
	// Retention states how long the platform's log keeps records, in minutes and days.
	Retention struct {
		ConfigRecords int `toml:"config-records" doc:"how many records of the configuration's stream the log keeps, 100 to 1000000; the state is appended anew before the last one that carries it is dropped; default 10000"`
		ConfigMinutes int `toml:"config-minutes" doc:"how long the log keeps a record of the configuration's stream, 10 to 525600; default 1440"`
		AccountDays   int `toml:"account-days" doc:"how many local days of the owner's account, today included, the log keeps and an entry holds in memory, 1 to 31; default 8"`
	} `toml:"retention"`
	Limits rlimit.Limits `toml:"limits"`
}

// Bounds and defaults of the settings.
const (
	defaultHeartbeatMS = 500
	defaultSuspectMS   = 2000
	defaultGraceMS     = 2000
	defaultDrainMS     = 30_000
	defaultRoundTripMS = 2
	minHeartbeatMS     = 50
	maxTimingMS        = 3_600_000

	defaultConfigRecords = 10_000
	minConfigRecords     = 100
	maxConfigRecords     = 1_000_000
	defaultConfigMinutes = 24 * 60
	minConfigMinutes     = 10
	maxConfigMinutes     = 365 * 24 * 60
	defaultAccountDays   = 8
	minAccountDays       = 1
	maxAccountDays       = 31
)

// Load reads and checks the settings of file; the error is a *strict.Error with file, line and key.
func Load(file string, data []byte) (*Settings, error) {
	s := &Settings{TimeZone: "UTC", Access: "tokens", Placement: place.Bounded.String()}
	s.Timing.HeartbeatMS = defaultHeartbeatMS
	s.Timing.SuspectMS = defaultSuspectMS
	s.Timing.GraceMS = defaultGraceMS
	s.Timing.DrainMS = defaultDrainMS
	s.Timing.RoundTripMS = defaultRoundTripMS
	s.Retention.ConfigRecords = defaultConfigRecords
	s.Retention.ConfigMinutes = defaultConfigMinutes
	s.Retention.AccountDays = defaultAccountDays
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
	}
	if key, reason := s.checkAddresses(); key != "" {
		return key, reason
	}
	if s.Access != "tokens" && s.Access != "open" {
		return "access", "\"" + s.Access + "\" is neither \"tokens\" nor \"open\""
	}
	if _, ok := place.ParsePolicy(s.Placement); !ok {
		return "placement", "not a policy; the policies are " + strings.Join(place.PolicyNames(), ", ")
	}
	if _, err := time.LoadLocation(s.TimeZone); err != nil {
		return "time-zone", strconv.Quote(s.TimeZone) + " is not a known time zone"
	}
	return s.checkTiming()
}

func (s *Settings) checkAddresses() (key, reason string) {
	for _, a := range []struct {
		key, value string
		optional   bool
	}{
		{"http", s.HTTP, false},
		{"control", s.Control, false},
		{"bulk", s.Bulk, false},
		{"log", s.Log, false},
		{"advertise-control", s.AdvertiseControl, true},
		{"advertise-bulk", s.AdvertiseBulk, true},
	} {
		if a.value == "" && a.optional {
			continue
		}
		if a.value == "" {
			return a.key, missing
		}
		if !addr.Valid(a.value) {
			return a.key, strconv.Quote(a.value) + notAddress
		}
	}
	for _, p := range s.Peers {
		if !addr.Valid(p) {
			return "peers", strconv.Quote(p) + notAddress
		}
	}
	return "", ""
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
	return s.checkTimingMaximum()
}

func (s *Settings) checkTimingMaximum() (key, reason string) {
	t := &s.Timing
	for _, v := range []struct {
		key string
		ms  int
	}{
		{"heartbeat-ms", t.HeartbeatMS},
		{"suspect-ms", t.SuspectMS},
		{"grace-ms", t.GraceMS},
		{"drain-ms", t.DrainMS},
		{"round-trip-ms", t.RoundTripMS},
	} {
		if v.ms > maxTimingMS {
			return "timing." + v.key, "too long, at most " + strconv.Itoa(maxTimingMS)
		}
	}
	return s.checkRetention()
}

func (s *Settings) checkRetention() (key, reason string) {
	r := &s.Retention
	for _, v := range []struct {
		key                string
		value, least, most int
	}{
		{"config-records", r.ConfigRecords, minConfigRecords, maxConfigRecords},
		{"config-minutes", r.ConfigMinutes, minConfigMinutes, maxConfigMinutes},
		{"account-days", r.AccountDays, minAccountDays, maxAccountDays},
	} {
		switch {
		case v.value < v.least:
			return "retention." + v.key, "too few, at least " + strconv.Itoa(v.least)
		case v.value > v.most:
			return "retention." + v.key, "too many, at most " + strconv.Itoa(v.most)
		}
	}
	return s.Limits.Check()
}
