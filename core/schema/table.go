package schema

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/fold"
)

// Each file is checked as well as the merged document, so that an error overridden by a later file is reported too.

// namePlaceholder is the part of a path that matches any name chosen by the operators.
const namePlaceholder = "NAME"

// namePattern matches names of teams, kinds and operators; a dot or a slash would clash with other uses of the name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nameDoc = "a name is 1 to 63 of a-z, 0-9 and '-', and starts with a letter or digit"

type kind string

const (
	integer kind = "integer"
	number  kind = "number"
	text    kind = "string"
	list    kind = "list of strings"
)

// row declares one key; text and list items must match pattern, and a list has at most max items.
type row struct {
	path       []string
	kind       kind
	min, max   float64
	pattern    *regexp.Regexp
	patternDoc string
	fallback   string
	doc        string
}

// Table is a set of declared keys.
type Table struct {
	rows []row
}

// Check returns all errors of the document, sorted by key.
func (t Table) Check(d fold.Document) []*cfgerr.Error {
	var faults []*cfgerr.Error
	d.Each(func(key []string, literal string, value any, file string, line int) {
		if reason := t.check(key, literal, value); reason != "" {
			faults = append(faults, cfgerr.New(file, line, dotted(key), reason))
		}
	})
	return faults
}

// check returns the error of one leaf, or "".
func (t Table) check(key []string, literal string, value any) string {
	best := row{}
	depth := 0
	for _, r := range t.rows {
		n := r.match(key)
		if n > depth {
			best, depth = r, n
		}
	}
	if depth == 0 {
		return "unknown key" + t.hint(key)
	}
	if reason := checkNames(best.path, key); reason != "" {
		return reason
	}
	isTable := literal == fold.EmptyTable
	switch {
	case depth == len(best.path) && len(key) > depth, depth == len(best.path) && isTable:
		return "wrong type: a table where " + article(best.kind) + " is wanted"
	case depth < len(best.path) && len(key) > depth:
		return "unknown key" + t.hint(key)
	case depth < len(best.path) && !isTable:
		return "wrong type: " + typeOf(value) + " where a table is wanted"
	case depth < len(best.path):
		return ""
	}
	return best.checkValue(value)
}

// match returns the number of leading parts of key that match the row's path.
func (r row) match(key []string) int {
	for i, part := range r.path {
		if i == len(key) || (part != namePlaceholder && part != key[i]) {
			return i
		}
	}
	return len(r.path)
}

func checkNames(path, key []string) string {
	for i := range min(len(path), len(key)) {
		if path[i] == namePlaceholder && !namePattern.MatchString(key[i]) {
			return nameDoc
		}
	}
	return ""
}

// hint lists the known names at the position of the first unknown part.
func (t Table) hint(key []string) string {
	depth := 0
	for _, r := range t.rows {
		depth = max(depth, r.match(key))
	}
	var known []string
	seen := make(map[string]bool)
	for _, r := range t.rows {
		if r.match(key) == depth && depth < len(r.path) && !seen[r.path[depth]] {
			seen[r.path[depth]] = true
			known = append(known, r.path[depth])
		}
	}
	return "; known here: " + strings.Join(known, ", ")
}

func (r row) checkValue(value any) string {
	switch v := value.(type) {
	case int64:
		if r.kind == integer || r.kind == number {
			return r.inRange(float64(v), fmt.Sprint(v))
		}
	case float64:
		if r.kind == number {
			return r.inRange(v, fmt.Sprint(v))
		}
	case string:
		if r.kind == text {
			return r.matches(v)
		}
	case []any:
		if r.kind == list {
			return r.checkList(v)
		}
	}
	return "wrong type: " + typeOf(value) + " where " + article(r.kind) + " is wanted"
}

func (r row) inRange(v float64, shown string) string {
	if v >= r.min && v <= r.max {
		return ""
	}
	return fmt.Sprintf("%s is out of range: must be between %s and %s", shown, formatNumber(r.min), formatNumber(r.max))
}

func (r row) matches(s string) string {
	if r.pattern.MatchString(s) {
		return ""
	}
	return fmt.Sprintf("%.80q: must be %s", s, r.patternDoc)
}

func (r row) checkList(items []any) string {
	if len(items) > int(r.max) {
		return fmt.Sprintf("%d items: must be at most %s", len(items), formatNumber(r.max))
	}
	seen := make(map[string]bool)
	for _, item := range items {
		s, ok := item.(string)
		if !ok {
			return "wrong type: " + typeOf(item) + " where a string is wanted"
		}
		if reason := r.matches(s); reason != "" {
			return reason
		}
		if seen[s] {
			return fmt.Sprintf("%.80q stands twice", s)
		}
		seen[s] = true
	}
	return ""
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func article(k kind) string {
	if k == integer {
		return "an " + string(k)
	}
	return "a " + string(k)
}

func typeOf(value any) string {
	switch value.(type) {
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date"
}
