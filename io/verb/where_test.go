package verb

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/sched"
)

// TestWherePrintsTheDecisionAndEachTarget covers what operators see, also if the entry can't read the job.
func TestWherePrintsTheDecisionAndEachTarget(t *testing.T) {
	answer := sched.Placement{
		Decision: sched.WouldStart, Route: "quotes", Tasks: []string{"agent-2"}, Waiting: 1,
		Targets: []sched.PlacementView{
			{Agent: "agent-1", Term: "apart"},
			{Agent: "agent-2", Chosen: true},
			{Agent: "agent-3", Excluded: "no-room"},
			{Agent: "agent-4", Term: "fast", Preferred: true},
			{Agent: "agent-5"},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" || r.URL.Query().Get("host") != "a.example" {
			http.Error(w, "phases: empty", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	s := session{t: t}
	s.run("where --entry " + server.URL + " --token secret --host a.example --path /l/ " + file)
	for _, line := range []string{
		"queue quotes: start\n", "task 0: agent-2\n", "1 tasks would wait\n", "behind by apart\n", "chosen\n", "no: no-room\n",
		"better by fast, not in the sample\n", "equal\n",
	} {
		require.Contains(t, s.text.String(), line)
	}
	s.run("where --json --entry " + server.URL + " --token secret --host a.example --path /l/ " + file)
	require.Contains(t, s.text.String(), `"excluded":"no-room"`)
	s.run("where --entry " + server.URL + " --host a.example " + file)
	require.Contains(t, s.text.String(), "persimmonstage: where: answer 400: phases: empty")
}
