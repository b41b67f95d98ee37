package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFillNamesWhatIsWrong(t *testing.T) {
	cases := []struct{ text, want string }{
		{`null`, `body: null where an object is expected`},
		{`[]`, `body: not a JSON object`},
		{"{\n\"tasks\": [}", `body: line 2: not valid JSON: invalid character '}' looking for beginning of value`},
		{``, `body: line 1: not valid JSON: unexpected end of JSON input`},
	}
	for _, c := range cases {
		_, _, err := Fill([]byte(c.text), time.Unix(0, 0))
		require.EqualError(t, err, c.want)
	}
}
