package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"persimmonstage/core/fold"
)

// A daemon never rejects a document: the publisher checked it, perhaps with a newer version of the program, and a reader
// that stopped at an unknown key would fall behind the others. Values that it can't use get their defaults.

// Defaults of keys that a document omits; package schema declares the same defaults.
const (
	DefaultWeight       = 1
	DefaultUrgency      = 5
	DefaultBodyBytes    = 16 << 20
	DefaultHeaderBytes  = 8 << 10
	DefaultPayloadBytes = 64 << 10
	DefaultTasksPerJob  = 160
	DefaultMaxDeadline  = 10 * time.Minute
	DefaultIssuedSkew   = 2 * time.Second
	DefaultRetryShare   = 0.1
)

const (
	accessOpen    = "open"
	maxTokenBytes = 4096
	hashBytes     = sha256.Size

	keyTeams     = "teams"
	keyKinds     = "kinds"
	keyLimits    = "limits"
	keyAccess    = "access"
	keyOperators = "operators"
	keyDrain     = "drain"
)

type kind struct {
	weight   int
	urgency  int
	expected time.Duration
}

type team struct {
	weight       int
	startsPerSec int
	running      int
	hashes       [][hashBytes]byte
	kinds        map[string]kind
}

type operator struct {
	name string
	hash [hashBytes]byte
}

// Rules holds the settings of one configuration version; it is immutable, and the zero value rejects all tokens.
type Rules struct {
	doc       fold.Document
	teams     map[string]team
	operators []operator
	drained   map[drain]bool
}

// drain is one item of a list under [drain].
type drain struct{ list, name string }

// FromDocument returns the rules of a document.
func FromDocument(d fold.Document) *Rules {
	r := &Rules{doc: d, teams: make(map[string]team), drained: make(map[drain]bool)}
	d.Each(func(key []string, _ string, value any, _ string, _ int) {
		switch {
		case len(key) > 1 && key[0] == keyTeams:
			r.readTeam(key[1], key[2:], value)
		case len(key) == 3 && key[0] == keyOperators && key[2] == "token-hash":
			if hash, ok := parseHash(value); ok {
				r.operators = append(r.operators, operator{name: key[1], hash: hash})
			}
		case len(key) == 2 && key[0] == keyDrain:
			items, _ := value.([]any)
			for _, item := range items {
				name, _ := item.(string)
				r.drained[drain{list: key[1], name: name}] = true
			}
		}
	})
	return r
}

func (r *Rules) readTeam(name string, key []string, value any) {
	t, ok := r.teams[name]
	if !ok {
		t = team{weight: DefaultWeight, kinds: make(map[string]kind)}
	}
	switch {
	case len(key) == 1:
		t.set(key[0], value)
	case len(key) >= 2 && key[0] == keyKinds:
		k, ok := t.kinds[key[1]]
		if !ok {
			k = kind{weight: DefaultWeight, urgency: DefaultUrgency}
		}
		if len(key) == 3 {
			k.set(key[2], value)
		}
		t.kinds[key[1]] = k
	}
	r.teams[name] = t
}

func (t *team) set(key string, value any) {
	switch key {
	case "weight":
		t.weight = nonNegative(value, t.weight)
	case "quota-starts-per-second":
		t.startsPerSec = nonNegative(value, 0)
	case "quota-running":
		t.running = nonNegative(value, 0)
	case "token-hashes":
		items, _ := value.([]any)
		for _, item := range items {
			if hash, ok := parseHash(item); ok {
				t.hashes = append(t.hashes, hash)
			}
		}
	}
}

func (k *kind) set(key string, value any) {
	switch key {
	case "weight":
		k.weight = nonNegative(value, k.weight)
	case "urgency":
		k.urgency = nonNegative(value, k.urgency)
	case "expected-ms":
		k.expected = time.Duration(nonNegative(value, 0)) * time.Millisecond
	}
}

func nonNegative(value any, fallback int) int {
	n, ok := value.(int64)
	if !ok || n < 0 {
		return fallback
	}
	return int(n)
}

func parseHash(value any) ([hashBytes]byte, bool) {
	var hash [hashBytes]byte
	s, _ := value.(string)
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != hashBytes {
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}

// Document returns the document that the rules were read from.
func (r *Rules) Document() fold.Document { return r.doc }

// Teams returns the names of the configured teams, sorted.
func (r *Rules) Teams() []string {
	names := make([]string, 0, len(r.teams))
	for name := range r.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Kinds returns the names of the team's configured kinds, sorted.
func (r *Rules) Kinds(teamName string) []string {
	return slices.Sorted(maps.Keys(r.teams[teamName].kinds))
}

// TeamsInEither returns the teams in r or before, sorted; the caller resets a removed team to the defaults.
func (r *Rules) TeamsInEither(before *Rules) []string {
	return union(r.Teams(), before.Teams())
}

// KindsInEither returns the team's kinds configured in r or before, sorted.
func (r *Rules) KindsInEither(before *Rules, team string) []string {
	return union(r.Kinds(team), before.Kinds(team))
}

func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// TeamWeight returns the team's weight in sharing capacity with other teams (1 for a team that isn't configured).
func (r *Rules) TeamWeight(name string) int { return r.team(name).weight }

// QuotaStarts returns the team's maximum number of task starts per second, and false when it has no quota.
func (r *Rules) QuotaStarts(name string) (int, bool) {
	n := r.team(name).startsPerSec
	return n, n > 0
}

// QuotaRunning returns the team's maximum number of running tasks, and false when it has no quota.
func (r *Rules) QuotaRunning(name string) (int, bool) {
	n := r.team(name).running
	return n, n > 0
}

// KindWeight returns the kind's weight in sharing its team's capacity (1 for a kind that isn't configured).
func (r *Rules) KindWeight(teamName, kindName string) int { return r.kind(teamName, kindName).weight }

// Urgency returns the kind's priority within its team's share, from 0 to 9 (first).
func (r *Rules) Urgency(teamName, kindName string) int { return r.kind(teamName, kindName).urgency }

// ExpectedRunTime returns the configured run time of a task of the kind, and false when it is learned instead.
func (r *Rules) ExpectedRunTime(teamName, kindName string) (time.Duration, bool) {
	d := r.kind(teamName, kindName).expected
	return d, d > 0
}

func (r *Rules) team(name string) team {
	if t, ok := r.teams[name]; ok {
		return t
	}
	return team{weight: DefaultWeight}
}

func (r *Rules) kind(teamName, kindName string) kind {
	if k, ok := r.team(teamName).kinds[kindName]; ok {
		return k
	}
	return kind{weight: DefaultWeight, urgency: DefaultUrgency}
}

// BodyBytes returns the maximum size of a request body.
func (r *Rules) BodyBytes() int { return r.limit("body-bytes", DefaultBodyBytes) }

// HeaderBytes returns the maximum size of a request header.
func (r *Rules) HeaderBytes() int { return r.limit("header-bytes", DefaultHeaderBytes) }

// PayloadBytes returns the maximum payload size of one task.
func (r *Rules) PayloadBytes() int { return r.limit("payload-bytes", DefaultPayloadBytes) }

// TasksPerJob returns the maximum number of tasks in a job.
func (r *Rules) TasksPerJob() int {
	return min(r.limit("tasks-per-job", DefaultTasksPerJob), DefaultTasksPerJob)
}

// LatestDeadline returns the latest deadline allowed for a job issued at the given time.
func (r *Rules) LatestDeadline(issued time.Time) time.Time {
	return issued.Add(r.millis("max-deadline-ms", DefaultMaxDeadline))
}

// LatestIssued returns the latest time of issue that an entry accepts at now.
func (r *Rules) LatestIssued(now time.Time) time.Time {
	return now.Add(r.millis("issued-skew-ms", DefaultIssuedSkew))
}

// RetryShare returns the maximum ratio of retries to starts, 0 to 1.
func (r *Rules) RetryShare() float64 {
	value, _ := r.doc.Value("retries", "share")
	switch v := value.(type) {
	case float64:
		return min(max(v, 0), 1)
	case int64:
		return min(max(float64(v), 0), 1)
	}
	return DefaultRetryShare
}

// Drained reports whether the target or its host is drained or its data centre is evacuated, so that the target gets no new work.
func (r *Rules) Drained(target, host, dataCentre string) bool {
	return r.drained[drain{"targets", target}] || r.drained[drain{"hosts", host}] || r.Evacuated(dataCentre)
}

// Evacuated reports whether a data centre is evacuated, so that its targets get no new work.
func (r *Rules) Evacuated(dataCentre string) bool {
	return r.drained[drain{"data-centres", dataCentre}]
}

// DrainChanges returns the targets, hosts and data centres drained in r but not in before, and those drained in before but not in r.
func (r *Rules) DrainChanges(before *Rules) (begun, ended []string) {
	return r.drainsMissingFrom(before), before.drainsMissingFrom(r)
}

// drainsMissingFrom returns the names drained in r but not in other, sorted; a host has the prefix "host ", a data centre
// "data centre ".
func (r *Rules) drainsMissingFrom(other *Rules) []string {
	var names []string
	for d := range r.drained {
		if other.drained[d] {
			continue
		}
		name := d.name
		switch d.list {
		case "hosts":
			name = "host " + name
		case "data-centres":
			name = "data centre " + name
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *Rules) limit(key string, fallback int) int {
	value, ok := r.doc.Value(keyLimits, key)
	if !ok {
		return fallback
	}
	return nonNegative(value, fallback)
}

func (r *Rules) millis(key string, fallback time.Duration) time.Duration {
	return time.Duration(r.limit(key, int(fallback.Milliseconds()))) * time.Millisecond
}
