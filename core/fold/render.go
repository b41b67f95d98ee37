package fold

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"persimmonstage/core/lines"
)

// TOML renders the document with one header per table, sorted by key.
func (d Document) TOML() []byte {
	groups := make(map[string][]leaf)
	for _, l := range d.leaves {
		table := lines.Dotted(l.key[:len(l.key)-1])
		if l.literal == EmptyTable {
			table = l.name
		}
		groups[table] = append(groups[table], l)
	}
	var b bytes.Buffer
	for _, table := range slices.Sorted(maps.Keys(groups)) {
		renderGroup(&b, table, groups[table])
	}
	return b.Bytes()
}

func renderGroup(b *bytes.Buffer, table string, leaves []leaf) {
	if table != "" {
		if b.Len() > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(b, "[%s]\n", table)
	}
	for _, l := range leaves {
		if l.literal != EmptyTable {
			fmt.Fprintf(b, "%s = %s\n", lines.Dotted(l.key[len(l.key)-1:]), l.literal)
		}
	}
}

func position(l leaf) string { return fmt.Sprintf("%s:%d", l.file, l.line) }

// literal renders a value in canonical TOML, the same for equal values.
func literal(value any) string {
	switch v := value.(type) {
	case string:
		return quote(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case bool:
		return strconv.FormatBool(v)
	case float64:
		return formatFloat(v)
	case time.Time:
		return v.Format(time.RFC3339Nano)
	case []any:
		return "[" + strings.Join(mapToStrings(v, literal), ", ") + "]"
	case map[string]any:
		return formatInlineTable(v)
	}
	return fmt.Sprint(value)
}

func formatInlineTable(table map[string]any) string {
	keys := slices.Sorted(maps.Keys(table))
	return "{" + strings.Join(mapToStrings(keys, func(key string) string {
		return lines.Dotted([]string{key}) + " = " + literal(table[key])
	}), ", ") + "}"
}

func mapToStrings[T any](in []T, render func(T) string) []string {
	out := make([]string, 0, len(in))
	for _, v := range in {
		out = append(out, render(v))
	}
	return out
}

func formatFloat(v float64) string {
	switch {
	case math.IsNaN(v):
		return "nan"
	case math.IsInf(v, 1):
		return "inf"
	case math.IsInf(v, -1):
		return "-inf"
	}
	s := strconv.FormatFloat(v, 'g', -1, 64)
	if !strings.ContainsAny(s, ".e") {
		s += ".0"
	}
	return s
}

// quote uses JSON escapes, which match those of a TOML basic string except for DEL.
func quote(s string) string {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(s)
	return strings.ReplaceAll(strings.TrimSuffix(b.String(), "\n"), "\x7f", `\u007F`)
}

// parseLiteral parses one TOML value; text after it is an error.
func parseLiteral(text string) (any, error) {
	var tree map[string]any
	if err := toml.Unmarshal([]byte("v = "+text), &tree); err != nil {
		return nil, err
	}
	if len(tree) != 1 {
		return nil, fmt.Errorf("%q is more than one value", text)
	}
	return tree["v"], nil
}
