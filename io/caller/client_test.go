package caller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFillDefaultsReportsMalformedInput(t *testing.T) {
	cases := []struct{ text, want string }{
		{`null`, `body: null where an object is expected`},
		{`[]`, `body: not a JSON object`},
		{"{\n\"tasks\": [}", `body: line 2: not valid JSON: invalid character '}' looking for beginning of value`},
		{``, `body: line 1: not valid JSON: unexpected end of JSON input`},
	}
	for _, c := range cases {
		_, _, err := FillDefaults([]byte(c.text), time.Unix(0, 0))
		require.EqualError(t, err, c.want)
	}
}

func TestFillDefaultsKeepsGivenText(t *testing.T) {
	const given = "{\"id\": \"a\", \"issued\": \"x\",\n\"team\": \"b\", \"team\": \"c\"}\n"
	body, deadline, err := FillDefaults([]byte(given), time.Unix(0, 0))
	require.NoError(t, err)
	require.Equal(t, "{\"deadline\": \"1970-01-01T00:00:30Z\", "+given[1:], string(body))
	require.Equal(t, time.Unix(30, 0), deadline)
	body, _, err = FillDefaults([]byte(" { } "), time.Unix(0, 0))
	require.NoError(t, err)
	require.True(t, json.Valid(body), string(body))
}
