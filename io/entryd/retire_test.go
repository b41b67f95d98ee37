package entryd

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetirementIsReadStrictly(t *testing.T) {
	for _, c := range []struct{ body, fault string }{
		{"", "body: EOF"},
		{"{}", "entry: missing"},
		{`{"entry": 3}`, "body: json: cannot unmarshal number"},
		{`{"entry": "e", "force": true}`, `body: json: unknown field "force"`},
		{`{"entry": "` + strings.Repeat("e", maxRetireBytes) + `"}`, "body: too large, limit 1024 bytes"},
	} {
		_, fault := readRetirement([]byte(c.body))
		require.Contains(t, fault, c.fault)
	}
	r, fault := readRetirement([]byte(`{"entry": "entry-2"}`))
	require.Empty(t, fault)
	require.Equal(t, "entry-2", r.Entry)
}
