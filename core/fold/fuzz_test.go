package fold

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/cfgerr"
)

// FuzzParse checks that a document gives either a *cfgerr.Error or a rendering that parses to the same content.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"", "a = 1", "[a]\nb = [1, 2.5, true, \"x\"]\n", "[[a]]\nb = 1\n[[a]]\nc = {d = 1}\n", "a.b.\"c d\".e = 'x\ty'\n",
		"d = 2024-01-01T00:00:00Z\n", "[a]\n[a.b]\n[a.b.c]\n", "a = \"\\u007f\\u2028\"\n", "a = 1e400\n", "a = 0x7fffffffffffffff\n",
		"a = {b = {}}\n", "a = [[], [{}]]\n", "a = -nan\nb = +inf\n", "\"\" = 1\n", "a = \"\"\"\n  x\r\n\"\"\"\n", "a = 07:32:00\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("f.toml", data)
		if err != nil {
			var fault *cfgerr.Error
			require.True(t, errors.As(err, &fault), "%v", err)
			return
		}
		again, err := Parse("again.toml", d.TOML())
		require.NoError(t, err, "%q renders as %q", data, d.TOML())
		require.Equal(t, string(d.TOML()), string(again.TOML()))
		require.Equal(t, d.Sum(), again.Sum())
		patched, err := Document{}.Apply(Document{}.Diff(d))
		require.NoError(t, err, "%q", data)
		require.Equal(t, d.Sum(), patched.Sum())
	})
}

func TestDeepKeysAreRejected(t *testing.T) {
	deep := strings.Repeat("a.", 100_000)
	for _, text := range []string{deep + "a = 1", "[" + deep + "a]", "x = " + strings.Repeat("{a = ", 50) + "1" + strings.Repeat("}", 50)} {
		_, err := Parse("f.toml", []byte(text))
		require.ErrorContains(t, err, "nested")
	}
}
