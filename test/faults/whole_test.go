package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/caller"
	"persimmonstage/test/fleet"
)

// job returns the body and deadline of a job of n tasks that run for workMS each and echo "id/index".
func job(t *testing.T, id, kind string, n, workMS int, lifetime time.Duration) ([]byte, time.Time) {
	t.Helper()
	type taskJSON struct {
		Payload []byte `json:"payload"`
	}
	tasks := make([]taskJSON, n)
	for i := range tasks {
		tasks[i].Payload = fmt.Appendf(nil, `{"work-ms":%d,"text":"%s/%d"}`, workMS, id, i)
	}
	text, err := json.Marshal(map[string]any{
		"id": id, "team": "kits", "kind": kind, "tasks": tasks,
		"deadline": time.Now().Add(lifetime).UTC().Format(time.RFC3339Nano),
	})
	require.NoError(t, err)
	body, deadline, err := caller.FillDefaults(text, time.Now())
	require.NoError(t, err)
	return body, deadline
}

type reply struct {
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason"`
	Cause   string   `json:"cause"`
	NotRun  *bool    `json:"not-run"`
	Results [][]byte `json:"results"`
}

func decode(t *testing.T, resp *http.Response) reply {
	t.Helper()
	defer resp.Body.Close()
	var r reply
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

func post(t *testing.T, f *fleet.Fleet, entry string, body []byte, deadline time.Time) (int, reply, []byte) {
	t.Helper()
	status, got, err := f.Client(entry).Submit(body, deadline)
	require.NoError(t, err)
	var r reply
	require.NoError(t, json.Unmarshal(got, &r))
	return status, r, got
}

// A job of the largest size, submitted to each of three entries, must be answered whole and in order with one start per task,
// and a resubmission to any entry must return the same bytes.
func TestWholePathThroughSeparateProcesses(t *testing.T) {
	const agents = 4
	f := fleet.New(t, 3, agents)
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("whole-%d", i)
		body, deadline := job(t, id, "sort", 160, 1, 20*time.Second)
		status, r, first := post(t, f, fmt.Sprintf("entry-%d", i), body, deadline)
		require.Equal(t, 200, status, r.Reason)
		require.Equal(t, "complete", r.Outcome, r.Reason)
		require.Len(t, r.Results, 160)
		for k, out := range r.Results {
			require.Equal(t, fmt.Sprintf("%s/%d", id, k), string(out))
		}
		for k := 1; k <= 3; k++ {
			_, _, again := post(t, f, fmt.Sprintf("entry-%d", k), body, deadline)
			require.Equal(t, first, again)
		}
	}
	all := f.AllStarts(agents)
	require.Len(t, all, 3*160)
	for task, n := range all {
		require.Equal(t, 1, n, task)
	}
}
