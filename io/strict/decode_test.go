package strict

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

type sample struct {
	Listen  string   `toml:"listen"`
	Entries []string `toml:"entries"`
	Limits  struct {
		BodyBytes int64 `toml:"body-bytes"`
		Small     uint8 `toml:"small"`
		On        bool  `toml:"on"`
	} `toml:"limits"`
}

func TestDecodeErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "listen = \"a\"\n\n[limits]\nbodybytes = 3\n", `s.toml:4: limits.bodybytes: unknown key`},
		{"unknown table", "[limit]\nbody-bytes = 3\n", `s.toml:1: limit: unknown key`},
		{"wrong type", "\n[limits]\nbody-bytes = \"3\"\n", `s.toml:3: limits.body-bytes: wrong type: a string where an integer is wanted`},
		{"wrong list", "entries = 3\n", `s.toml:1: entries: wrong type: an integer where an array is wanted`},
		{"table for value", "[listen]\na = 1\n", `s.toml:1: listen: wrong type: a table where a string is wanted`},
		{"value for table", "limits = true\n", `s.toml:1: limits: wrong type: a boolean where a table is wanted`},
		{"range", "limits.small = 300\n", `s.toml:1: limits.small: integer value 300 cannot be stored in uint8`},
		{"syntax", "listen = \"a\"\nentries = [\n", `s.toml:2: array is incomplete`},
		{"twice", "listen = \"a\"\nlisten = \"b\"\n", `s.toml:2: listen: key listen is already defined`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s sample
			err := Decode("s.toml", []byte(c.text), &s)
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, c.want, err.Error())
		})
	}
}

func TestErrorAtUsesTheTableOfAMissingKey(t *testing.T) {
	data := []byte("listen = \"a\"\n[limits]\non = true\n")
	require.Equal(t, 2, ErrorAt("s.toml", data, "limits.body-bytes", "is required").Line())
	require.Equal(t, "s.toml:1: host: is required", ErrorAt("s.toml", data, "host", "is required").Error())
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("listen = \"a\"\nentries = [\"b\"]\n[limits]\nbody-bytes = 3\non = true\n"))
	f.Add([]byte("limits = {small = 300}\n"))
	f.Add([]byte("\"a.b\".c = 1979-05-27T07:32:00Z\n[[limits]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		err := Decode("s.toml", data, &s)
		var e *Error
		if err != nil {
			require.True(t, errors.As(err, &e), "%v", err)
			require.LessOrEqual(t, e.Line(), 1+bytes.Count(data, []byte{'\n'}))
			require.NotEmpty(t, e.Reason())
		}
	})
}
