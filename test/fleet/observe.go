package fleet

import (
	"encoding/json"
	"time"

	"github.com/stretchr/testify/require"
)

// EntryState is the part of an entry's state dump that the tests check.
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

// State fetches an entry's state; the second result is false when the entry does not answer with 200.
func (f *Fleet) State(name string) (EntryState, bool) {
	var s EntryState
	status, body, err := f.Client(name).Do("GET", "/v1/admin/state", nil, time.Now().Add(2*time.Second))
	if err != nil || status != 200 {
		return s, false
	}
	require.NoError(f.t, json.Unmarshal(body, &s))
	return s, true
}

// Usable returns the number of targets that an entry can place tasks on.
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

// AwaitTargets waits until an entry can place tasks on n targets.
func (f *Fleet) AwaitTargets(entry string, n int) {
	f.t.Helper()
	f.Await(entry+" has the expected number of usable targets", func() bool {
		s, ok := f.State(entry)
		return ok && s.Usable() == n
	})
}

// Await waits until a condition holds, and fails the test if it doesn't within readyTimeout.
func (f *Fleet) Await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

// Starts holds a stand-in target's counts of started tasks.
type Starts struct {
	Total         int            `json:"total"`
	StartedTwice  []string       `json:"doubled"`
	MaxConcurrent int            `json:"most-at-once"`
	Probes        int            `json:"health-checks"`
	Starts        map[string]int `json:"starts"`
}

// Starts fetches a target's counts.
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
