package submit

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/limits"
	"persimmonstage/core/needs"
)

var now = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const jobFields = `"id": "a", "team": "t", "kind": "k", "issued": "2026-03-02T08:00:00Z", "deadline": "2026-03-02T08:00:30Z"`

func smallLimits() limits.Limits {
	lim := limits.Default()
	lim.BodyBytes, lim.PayloadBytes, lim.TasksPerJob, lim.NameBytes = 1000, 4, 2, 8
	return lim
}

func withTasks(tasks string) string { return `{` + jobFields + `, "tasks": [` + tasks + `]}` }

func withReplaced(old, replacement string) string {
	return strings.Replace(withTasks(`{"payload": "eA=="}`), old, replacement, 1)
}

func TestDecodeValidJob(t *testing.T) {
	j, err := Decode([]byte(withTasks(`{"payload": "eHl6eg==", "needs": {"cores": 2}}, {"payload": ""}`)), smallLimits(), now)
	require.NoError(t, err)
	require.Equal(t, "t", j.Key.Team)
	require.Equal(t, now.Add(30*time.Second), j.Deadline)
	require.Equal(t, "xyzz", string(j.Tasks[0].Payload))
	require.Equal(t, needs.Vector{Cores: 2}, j.Tasks[0].Needs)
	require.Equal(t, needs.Vector{Slots: 1}, j.Tasks[1].Needs)
}

func TestDecodeErrorsNameFieldAndLimit(t *testing.T) {
	cases := []struct {
		name, body, want string
		status           int
	}{
		{"empty", ``, `body: line 1: not valid JSON: unexpected end of JSON input`, 400},
		{"truncated", "{\n" + jobFields + `,`, `body: line 2: not valid JSON: unexpected end of JSON input`, 400},
		{"syntax", "{" + jobFields + ",\n\"tasks\": [}", `body: line 2: not valid JSON: invalid character '}' looking for beginning of value`, 400},
		{"two values", withTasks(`{"payload": "eA=="}`) + "{}", `body: more than one JSON value`, 400},
		{"unknown key", withReplaced(`"tasks"`, `"urgent": 1, "tasks"`), `urgent: unknown key`, 400},
		{"unknown task key", withTasks(`{"load": "eA=="}`), `load: unknown key`, 400},
		{"unknown need", withTasks(`{"payload": "eA==", "needs": {"slot": 1}}`), `slot: unknown key`, 400},
		{"key in other case", withReplaced(`"tasks"`, `"Tasks"`), `Tasks: unknown key`, 400},
		{"key with a non-ASCII letter", withTasks(`{"payload": "eA==", "needs": {"ſlots": 1}}`), `ſlots: unknown key`, 400},
		{"duplicate key", withReplaced(`"tasks"`, "\"team\": \"u\",\n\"tasks\""), `team: line 1: the key stands twice in its object`, 400},
		{"duplicate key, once escaped", withReplaced(`"tasks"`, "\n\"te\\u0061m\" : \"u\", \"tasks\""), `team: line 2: the key stands twice in its object`, 400},
		{"duplicate task key", withTasks(`{"payload": "eA=="}, {"payload": "eA==", "needs": {"slots": 1}, "payload": "eA=="}`), `payload: line 1: the key stands twice in its object`, 400},
		{"duplicate need", withTasks(`{"payload": "eA==", "needs": {"slots": 1, "slots": 2}}`), `slots: line 1: the key stands twice in its object`, 400},
		{"wrong type", withReplaced(`"a"`, "7"), `id: line 1: a number where a string is expected`, 400},
		{"wrong type of tasks", `{` + jobFields + ",\n\"tasks\": \"x\"}", `tasks: line 2: a string where an array is expected`, 400},
		{"wrong type of a task", withTasks(`"x"`), `tasks: line 1: a string where an object is expected`, 400},
		{"wrong type of a need", withTasks(`{"payload": "eA==", "needs": {"slots": 1.5}}`), `tasks.needs.slots: line 1: a number 1.5 where an integer is expected`, 400},
		{"not an object", `[]`, `body: line 1: an array where an object is expected`, 400},
		{"null", `null`, `id: missing`, 400},
		{"no team", withReplaced(`"team": "t", `, ""), `team: missing`, 400},
		{"long name", withReplaced(`"kind": "k"`, `"kind": "kkkkkkkkk"`), `kind: 9 bytes, limit 8`, 400},
		{"invalid character in a name", withReplaced(`"team": "t"`, `"team": "a/b"`), `team: character '/' is not allowed`, 400},
		{"no tasks", withTasks(``), `tasks: missing, limit at least 1`, 400},
		{"too many tasks", withTasks(`{"payload": ""}, {"payload": ""}, {"payload": ""}`), `tasks: 3 tasks, limit 2`, 413},
		{"no payload", withTasks(`{"payload": ""}, {}`), `tasks[1].payload: missing`, 400},
		{"payload too large by one", withTasks(`{"payload": "eHh4eHg="}`), `tasks[0].payload: 5 bytes, limit 4`, 413},
		{"payload much too large", withTasks(`{"payload": "eHh4eHh4eHh4eHh4"}`), `tasks[0].payload: 12 bytes, limit 4`, 413},
		{"bad base64", withTasks(`{"payload": "e*"}`), `tasks[0].payload: not base64: illegal base64 data at input byte 1`, 400},
		{"negative need", withTasks(`{"payload": "", "needs": {"memory-mb": -1}}`), `tasks[0].needs.memory-mb: negative, limit at least 0`, 400},
		{"need over the limit", withTasks(`{"payload": "", "needs": {"slots": 4294967297}}`), `tasks[0].needs.slots: 4294967297, limit 2147483647`, 400},
		{"no need", withTasks(`{"payload": "", "needs": {}}`), `tasks[0].needs: nothing is needed, limit at least 1 of something`, 400},
		{"bad time", withReplaced("2026-03-02T08:00:00Z", "yesterday"), `issued: "yesterday" is not an RFC 3339 time`, 400},
		{"time before the epoch", withReplaced("2026-03-02T08:00:00Z", "1400-01-01T00:00:00Z"), `issued: 1400-01-01T00:00:00Z, limit at least 1970-01-01T00:00:00Z`, 400},
		{"issued in the future", withReplaced("2026-03-02T08:00:00Z", "2026-03-02T08:00:03Z"), `issued: in the future by 3s, limit 2s`, 400},
		{"no deadline", withReplaced(`, "deadline": "2026-03-02T08:00:30Z"`, ""), `deadline: missing`, 400},
		{"expired", withReplaced("2026-03-02T08:00:30Z", "2026-03-02T08:00:00Z"), `deadline: expired`, 400},
		{"deadline far ahead", withReplaced("2026-03-02T08:00:30Z", "2026-03-02T08:11:00Z"), `deadline: too far ahead: 11m0s, limit 10m0s`, 400},
		{"body too large", strings.Repeat(" ", 1001), `body: 1001 bytes, limit 1000`, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(c.body), smallLimits(), now)
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, c.want, e.Error())
			require.Equal(t, c.status, e.Status())
			require.Equal(t, c.name == "expired", e.MayHaveRun())
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(withTasks(`{"payload": "eA==", "needs": {"slots": 1, "cores": 0, "memory-mb": 1, "accelerators": 0}}`)))
	f.Add([]byte(withTasks(`{"payload": ""}, {"payload": "eHl6"}`)))
	f.Add([]byte(`{"id": null, "tasks": [null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		lim := smallLimits()
		j, err := Decode(body, lim, now)
		if err != nil {
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			return
		}
		require.LessOrEqual(t, len(j.Tasks), lim.TasksPerJob)
		require.False(t, j.Issued.Before(time.Unix(0, 0)))
		for i := range j.Tasks {
			require.LessOrEqual(t, len(j.Tasks[i].Payload), lim.PayloadBytes)
			require.Empty(t, j.Tasks[i].Needs.FirstNegative())
		}
		again := fmt.Sprintf(`{"id": %q, "team": %q, "kind": %q, "issued": %q, "deadline": %q, "tasks": [`,
			j.Key.ID, j.Key.Team, j.Kind, j.Issued.Format(time.RFC3339Nano), j.Deadline.Format(time.RFC3339Nano))
		for i := range j.Tasks {
			n, err := json.Marshal(j.Tasks[i].Needs)
			require.NoError(t, err)
			again += fmt.Sprintf(`{"payload": %q, "needs": %s},`, base64.StdEncoding.EncodeToString(j.Tasks[i].Payload), n)
		}
		lim.BodyBytes *= 2
		k, err := Decode([]byte(strings.TrimSuffix(again, ",")+"]}"), lim, now)
		require.NoError(t, err)
		require.Equal(t, j.Tasks, k.Tasks)
	})
}
