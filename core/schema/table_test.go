package schema

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/fold"
)

func faults(t *testing.T, check func(fold.Document) []*cfgerr.Error, text string) []string {
	t.Helper()
	d, err := fold.Parse("a.toml", []byte(text))
	require.NoError(t, err)
	var out []string
	for _, e := range check(d) {
		out = append(out, e.Error())
	}
	return out
}

func TestCheckReportsLineKeyAndLimit(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	for _, c := range []struct{ text, want string }{
		{"[teams.kits]\nwieght = 1", "a.toml:2: teams.kits.wieght: unknown key; known here: token-hashes, quota-running, quota-starts-per-second, weight, kinds"},
		{"teem = 1", "a.toml:1: teem: unknown key; known here: access, drain, limits, operators, retries, teams"},
		{"[teams.kits]\nweight = \"2\"", "a.toml:2: teams.kits.weight: wrong type: a string where an integer is wanted"},
		{"[teams.kits]\nweight = 0", "a.toml:2: teams.kits.weight: 0 is out of range: must be between 1 and 1000"},
		{"[limits]\ntasks-per-job = 161", "a.toml:2: limits.tasks-per-job: 161 is out of range: must be between 1 and 160"},
		{"retries.share = 1.5", "a.toml:1: retries.share: 1.5 is out of range: must be between 0 and 1"},
		{"[teams.Kits]\nweight = 1", "a.toml:2: teams.Kits.weight: " + nameDoc},
		{"[teams.\"a.b\"]", "a.toml:1: teams.\"a.b\": " + nameDoc},
		{"teams = 3", "a.toml:1: teams: wrong type: an integer where a table is wanted"},
		{"[teams]\nkits = 3", "a.toml:2: teams.kits: wrong type: an integer where a table is wanted"},
		{"[teams.kits.weight]\na = 1", "a.toml:2: teams.kits.weight.a: wrong type: a table where an integer is wanted"},
		{"[teams.kits.weight]", "a.toml:1: teams.kits.weight: wrong type: a table where an integer is wanted"},
		{"[teams.kits]\ntoken-hashes = [\"secret\"]", "a.toml:2: teams.kits.token-hashes: \"secret\": must be " + hashDoc},
		{"[teams.kits]\ntoken-hashes = [\"" + hash + "\", \"" + hash + "\"]", "a.toml:2: teams.kits.token-hashes: \"" + hash + "\" stands twice"},
		{"[drain]\nhosts = [3]", "a.toml:2: drain.hosts: wrong type: an integer where a string is wanted"},
		{"access.callers = \"closed\"", "a.toml:1: access.callers: \"closed\": must be \"open\" or \"tokens\""},
		{"[teams.kits.kinds.label]\nurgency = 10", "a.toml:2: teams.kits.kinds.label.urgency: 10 is out of range: must be between 0 and 9"},
		{"limits.body-bytes = 2024-01-01", "a.toml:1: limits.body-bytes: wrong type: a date where an integer is wanted"},
	} {
		require.Equal(t, []string{c.want}, faults(t, Operators().Check, c.text), "%s", c.text)
	}
}

func TestMergedDocumentNeedsAnOperatorToken(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	require.Len(t, faults(t, CheckMerged, "[teams.kits]"), 1)
	require.Empty(t, faults(t, CheckMerged, "access.operators = \"open\""))
	require.Empty(t, faults(t, CheckMerged, "operators.ana.token-hash = \""+hash+"\""))
	require.Equal(t, []string{"a.toml:2: operators.ben.token-hash: the same token as operators.ana.token-hash"},
		faults(t, CheckMerged, "operators.ana.token-hash = \""+hash+"\"\noperators.ben.token-hash = \""+hash+"\""))
}
