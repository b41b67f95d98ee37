package fold

import (
	"fmt"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/delta"
)

func merge(t require.TestingT, files map[string]string) Document {
	raw := make(map[string][]byte)
	for name, text := range files {
		raw[name] = []byte(text)
	}
	d, err := Merge(raw)
	require.NoError(t, err)
	return d
}

func TestLaterFilesOverrideEarlierOnes(t *testing.T) {
	d := merge(t, map[string]string{
		"20-night.toml": "[teams.kits]\nweight = 5\n\n[teams.strings]\n",
		"10-base.toml":  "# base\nretries.share = 0.2\n[teams.kits]\nweight = 2\nquota-running = 7\n[teams.idle]\n",
		"30-late.toml":  "[teams.strings]\nweight = 1\n[teams.idle]\n[drain]\nhosts = [\"10.0.0.1\"]\n",
	})
	require.Equal(t, `[drain]
hosts = ["10.0.0.1"]

[retries]
share = 0.2

[teams.idle]

[teams.kits]
quota-running = 7
weight = 5

[teams.strings]
weight = 1
`, string(d.TOML()))
	file, line := d.Origin("teams", "kits", "weight")
	require.Equal(t, "20-night.toml:2", fmt.Sprintf("%s:%d", file, line))
	file, line = d.Origin("teams", "kits", "quota-running")
	require.Equal(t, "10-base.toml:5", fmt.Sprintf("%s:%d", file, line))
	file, line = d.Origin("retries", "share")
	require.Equal(t, "10-base.toml:2", fmt.Sprintf("%s:%d", file, line))
}

func TestMergeErrors(t *testing.T) {
	for _, c := range []struct{ first, second, want string }{
		{"a = 1\n", "[a]\nb = 1\n", "2.toml:2: a.b: wrong type: a table and a value under one key; see 1.toml:1"},
		{"[a]\nb = 1\n", "\na = 1\n", "2.toml:2: a: wrong type: a table and a value under one key; see 1.toml:2"},
		{"a = 1\n", "[a]\n", "2.toml:1: a: wrong type: a table and a value under one key; see 1.toml:1"},
		{"[a]\n", "a = 1\n", "2.toml:1: a: wrong type: a table and a value under one key; see 1.toml:1"},
		{"a = 1\n", "b = \n", "2.toml:1: unexpected character U+000A at start of value"},
		{"a = 1\na = 2\n", "", "1.toml:2: a: key a is already defined"},
	} {
		_, err := Merge(map[string][]byte{"1.toml": []byte(c.first), "2.toml": []byte(c.second)})
		require.EqualError(t, err, c.want)
	}
}

// tree generates nested tables with values of several types and keys that need quoting.
func tree() *rapid.Generator[map[string]any] {
	key := rapid.SampledFrom([]string{"a", "b", "c-d", "x.y", "é", "1"})
	value := rapid.OneOf(
		rapid.Int64().AsAny(), rapid.Bool().AsAny(), rapid.String().AsAny(), rapid.Float64().AsAny(),
		rapid.Map(rapid.SliceOfN(rapid.String(), 0, 3), func(in []string) any {
			out := make([]any, 0, len(in))
			for _, s := range in {
				out = append(out, s)
			}
			return out
		}))
	table := func(inner *rapid.Generator[any]) *rapid.Generator[any] {
		return rapid.Map(rapid.MapOfN(key, inner, 0, 4), func(m map[string]any) any { return m })
	}
	nested := rapid.OneOf(value, table(rapid.OneOf(value, table(value))))
	return rapid.MapOfN(key, nested, 0, 5)
}

func draw(t *rapid.T, label string) Document {
	data, err := toml.Marshal(tree().Draw(t, label))
	require.NoError(t, err)
	d, err := Parse(label, data)
	require.NoError(t, err, "%s", data)
	return d
}

func TestRenderAndDiffRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		again, err := Parse("again", a.TOML())
		require.NoError(t, err, "%s", a.TOML())
		require.Equal(t, string(a.TOML()), string(again.TOML()))
		require.Equal(t, a.Sum(), again.Sum())

		patched, err := a.Apply(a.Diff(b))
		require.NoError(t, err)
		require.Equal(t, string(b.TOML()), string(patched.TOML()))
		require.Equal(t, b.Sum(), patched.Sum())
		require.Empty(t, patched.Diff(b))
	})
}

func TestApplyRejectsSeveralValues(t *testing.T) {
	_, err := Document{}.Apply([]delta.Change{delta.Set([]string{"a"}, "1\nb = 2")})
	require.Error(t, err)
}
