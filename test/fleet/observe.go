package fleet

import (
	"encoding/json"
	"time"

	"github.com/stretchr/testify/require"
)

// EntryState is the part of an entry's state dump that tests look at.
type EntryState struct {
	MapVersion int64 `json:"map-version"`
	Map        struct {
		Members []struct {
			Name string `json:"name"`
		} `json:"members"`
	} `json:"map"`
	Jobs struct {
		Running int `json:"running"`
		Overdue int `json:"past-deadline"`
	} `json:"jobs"`
	Targets []struct {
		Name     string `json:"name"`
		Usable   bool   `json:"usable"`
		Out      string `json:"out"`
		InFlight int    `json:"in-flight"`
	} `json:"targets"`
}

// State asks an entry for its state; the second result is false when it does not answer.
func (f *Fleet) State(name string) (EntryState, bool) {
	var s EntryState
	status, body, err := f.Client(name).Do("GET", "/v1/admin/state", nil, time.Now().Add(2*time.Second))
	if err != nil || status != 200 {
		return s, false
	}
	require.NoError(f.t, json.Unmarshal(body, &s))
	return s, true
}

// Usable gives the number of targets that an entry can place on.
func (s *EntryState) Usable() int {
	n := 0
	for _, t := range s.Targets {
		if t.Usable {
			n++
		}
	}
	return n
}

// EjectReason returns why an entry places nothing on a target, or "" if it does.
func (s *EntryState) EjectReason(target string) string {
	for _, t := range s.Targets {
		if t.Name == target {
			return t.Out
		}
	}
	return "not known"
}

// AwaitTargets waits until an entry can place on n targets.
func (f *Fleet) AwaitTargets(entry string, n int) {
	f.t.Helper()
	f.Await(entry+" knows its targets", func() bool {
		s, ok := f.State(entry)
		return ok && s.Usable() == n
	})
}

// Await waits for a condition; it fails the test only when the condition never comes.
func (f *Fleet) Await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("never: %s", what)
}

// Starts is what the stand-in targets counted.
type Starts struct {
	Total         int            `json:"total"`
	StartedTwice  []string       `json:"doubled"`
	MaxConcurrent int            `json:"most-at-once"`
	Probes        int            `json:"health-checks"`
	Starts        map[string]int `json:"starts"`
}

// Starts asks one target for its counts.
func (f *Fleet) Starts(target string) Starts {
	f.t.Helper()
	var s Starts
	status, body, err := f.Client(target).Do("GET", "/starts?all=true", nil, time.Now().Add(5*time.Second))
	require.NoError(f.t, err)
	require.Equal(f.t, 200, status)
	require.NoError(f.t, json.Unmarshal(body, &s))
	return s
}

// AllStarts adds the counts of n targets by task.
func (f *Fleet) AllStarts(n int) map[string]int {
	f.t.Helper()
	all := map[string]int{}
	for i := range n {
		for task, count := range f.Starts(targetName(i)).Starts {
			all[task] += count
		}
	}
	return all
}
