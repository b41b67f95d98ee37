package rules

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/fold"
	"persimmonstage/core/schema"
)

func parseRules(t *testing.T, text string) *Rules {
	t.Helper()
	d, err := fold.Parse("a.toml", []byte(text))
	require.NoError(t, err)
	return FromDocument(d)
}

func TestFromFullDocument(t *testing.T) {
	text := fmt.Sprintf(`
[access]
callers = "tokens"
[drain]
hosts = ["10.0.0.7"]
targets = ["saw-2"]
[limits]
body-bytes = 2048
max-deadline-ms = 5000
issued-skew-ms = 100
[operators.ana]
token-hash = "%s"
[retries]
share = 1
[teams.kits]
weight = 3
quota-running = 7
token-hashes = ["%s", "%s"]
[teams.kits.kinds.label]
weight = 2
urgency = 9
expected-ms = 250
[teams.kits.kinds.cut]
[teams.strings]
`, HashToken("ana's"), HashToken("old"), HashToken("new"))
	r := parseRules(t, text)
	require.Empty(t, schema.Operators().Check(r.Document()))
	require.Equal(t, []string{"kits", "strings"}, r.Teams())
	require.Equal(t, 3, r.TeamWeight("kits"))
	require.Equal(t, 1, r.TeamWeight("nobody"))
	n, ok := r.QuotaRunning("kits")
	require.True(t, ok)
	require.Equal(t, 7, n)
	_, ok = r.QuotaStarts("kits")
	require.False(t, ok)
	require.Equal(t, []int{2, 9, 1, 5}, []int{
		r.KindWeight("kits", "label"), r.Urgency("kits", "label"), r.KindWeight("kits", "cut"), r.Urgency("kits", "cut"),
	})
	d, ok := r.ExpectedRunTime("kits", "label")
	require.True(t, ok)
	require.Equal(t, 250*time.Millisecond, d)

	require.True(t, r.CallerAllowed("kits", "old"))
	require.True(t, r.CallerAllowed("kits", "new"))
	require.False(t, r.CallerAllowed("strings", "new"))
	require.False(t, r.CallerAllowed("kits", ""))
	require.False(t, r.CallerAllowed("kits", HashToken("new")))
	name, ok := r.Operator("ana's")
	require.True(t, ok)
	require.Equal(t, "ana", name)
	_, ok = r.Operator("new")
	require.False(t, ok)

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, now.Add(5*time.Second), r.LatestDeadline(now))
	require.Equal(t, now.Add(100*time.Millisecond), r.LatestIssued(now))
	require.Equal(t, []int{2048, DefaultHeaderBytes, DefaultPayloadBytes, 160}, []int{
		r.BodyBytes(), r.HeaderBytes(), r.PayloadBytes(), r.TasksPerJob(),
	})
	require.InDelta(t, 1, r.RetryShare(), 0)
	require.True(t, r.Drained("saw-2", "10.0.0.9", "north"))
	require.True(t, r.Drained("saw-3", "10.0.0.7", "north"))
	require.False(t, r.Drained("10.0.0.7", "saw-2", "saw-2"))
	begun, ended := r.DrainChanges(parseRules(t, "drain.targets = [\"saw-2\", \"saw-9\"]"))
	require.Equal(t, []string{"host 10.0.0.7"}, begun)
	require.Equal(t, []string{"saw-9"}, ended)
}

func TestTheTargetsOfAnEvacuatedDataCentreAreDrained(t *testing.T) {
	r := parseRules(t, "drain.data-centres = [\"north\"]")
	require.True(t, r.Drained("saw-2", "10.0.0.9", "north"))
	require.False(t, r.Drained("north", "north", "south"))
	begun, ended := r.DrainChanges(parseRules(t, "drain.hosts = [\"north\"]"))
	require.Equal(t, []string{"data centre north"}, begun)
	require.Equal(t, []string{"host north"}, ended)
}

func TestUnknownAndInvalidValuesGetDefaults(t *testing.T) {
	r := parseRules(t, "new = 1\n[teams.a]\nweight = \"x\"\nlater = 2\n[teams.a.kinds]\nb = 3\n[limits]\nbody-bytes = -1\n[retries]\nshare = 7\n")
	require.Equal(t, 1, r.TeamWeight("a"))
	require.Equal(t, DefaultBodyBytes, r.BodyBytes())
	require.InDelta(t, 1, r.RetryShare(), 0)
}

func TestZeroRulesRejectTokens(t *testing.T) {
	var r Rules
	require.False(t, r.CallerAllowed("a", ""))
	_, ok := r.Operator("")
	require.False(t, ok)
	require.Equal(t, DefaultBodyBytes, r.BodyBytes())
	require.True(t, parseRules(t, "access = {callers = \"open\", operators = \"open\"}").CallersOpen())
}

func TestRemovedKeysGetDefaults(t *testing.T) {
	before := parseRules(t, "[teams.a]\nweight = 9\nquota-running = 3\n[teams.b.kinds.x]\nweight = 4\n")
	r := parseRules(t, "[teams.b.kinds.y]\n")
	require.Equal(t, []string{"a", "b"}, r.TeamsInEither(before))
	require.Equal(t, []string{"x", "y"}, r.KindsInEither(before, "b"))
	require.Equal(t, 1, r.TeamWeight("a"))
	_, ok := r.QuotaRunning("a")
	require.False(t, ok)
	require.Equal(t, 1, r.KindWeight("b", "x"))
	require.Equal(t, []string{"b"}, r.TeamsInEither(&Rules{}))
}
