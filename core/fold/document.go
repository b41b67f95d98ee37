package fold

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/delta"
	"persimmonstage/core/lines"
)

// A document is stored flat, one leaf per key, so that a diff is a list of keys and a change record is small however
// large the document is: at the design size, sending whole documents would exceed every process's bandwidth budget.

// EmptyTable is the literal of a table without keys.
const EmptyTable = "{}"

type leaf struct {
	key     []string
	name    string
	literal string
	value   any
	file    string
	line    int
}

// Document is an immutable configuration document; the zero value is the empty one.
type Document struct {
	leaves []leaf
}

// Len returns the number of keys.
func (d Document) Len() int { return len(d.leaves) }

// Each calls visit for the keys in order, with the key's parts, its TOML literal, Go value, and the file and line that set it.
func (d Document) Each(visit func(key []string, literal string, value any, file string, line int)) {
	for _, l := range d.leaves {
		visit(l.key, l.literal, l.value, l.file, l.line)
	}
}

// Origin returns the file and the line that set key, or "" and 0.
func (d Document) Origin(key ...string) (string, int) {
	if i, ok := d.find(lines.Dotted(key)); ok {
		return d.leaves[i].file, d.leaves[i].line
	}
	return "", 0
}

// Value returns the value of key: a bool, int64, float64, string or []any.
func (d Document) Value(key ...string) (any, bool) {
	i, ok := d.find(lines.Dotted(key))
	if !ok {
		return nil, false
	}
	return d.leaves[i].value, true
}

// Sum returns a checksum over keys and values, equal for documents with equal content.
func (d Document) Sum() uint64 {
	h := xxhash.New()
	for _, l := range d.leaves {
		_, _ = h.WriteString(l.name)
		_, _ = h.WriteString(" = ")
		_, _ = h.WriteString(l.literal)
		_, _ = h.WriteString("\n")
	}
	return h.Sum64()
}

// Diff returns the changes that turn d into to, sorted by key.
func (d Document) Diff(to Document) []delta.Change {
	var changes []delta.Change
	old, updated := d.leaves, to.leaves
	for len(old) > 0 || len(updated) > 0 {
		switch order := compare(old, updated); {
		case order < 0:
			changes = append(changes, delta.Remove(old[0].key))
			old = old[1:]
		case order > 0:
			changes = append(changes, delta.Set(updated[0].key, updated[0].literal))
			updated = updated[1:]
		default:
			if old[0].literal != updated[0].literal {
				changes = append(changes, delta.Set(updated[0].key, updated[0].literal))
			}
			old, updated = old[1:], updated[1:]
		}
	}
	return changes
}

// compare compares the names of the first leaves; an empty list sorts last.
func compare(a, b []leaf) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	case a[0].name == b[0].name:
		return 0
	}
	return strings.Compare(a[0].name, b[0].name)
}

// Apply returns the document with the changes applied; a literal that is not valid TOML is an error.
func (d Document) Apply(changes []delta.Change) (Document, error) {
	leaves := slices.Clone(d.leaves)
	for _, c := range delta.Join(changes) {
		out := Document{leaves: leaves}
		i, found := out.find(c.Name())
		switch {
		case c.Removed() && found:
			leaves = slices.Delete(leaves, i, i+1)
		case c.Removed():
		default:
			l, err := fromChange(c)
			if err != nil {
				return Document{}, err
			}
			if found {
				leaves[i] = l
			} else {
				leaves = slices.Insert(leaves, i, l)
			}
		}
	}
	return Document{leaves: leaves}, nil
}

func fromChange(c delta.Change) (leaf, error) {
	value, err := parseLiteral(c.Literal())
	if err != nil {
		return leaf{}, cfgerr.New("", 0, c.Name(), err.Error())
	}
	return leaf{key: c.Key(), name: c.Name(), literal: c.Literal(), value: value}, nil
}

func (d Document) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.leaves, name, func(l leaf, name string) int { return strings.Compare(l.name, name) })
}

func sortedDocument(byName map[string]leaf) Document {
	leaves := make([]leaf, 0, len(byName))
	for _, l := range byName {
		leaves = append(leaves, l)
	}
	slices.SortFunc(leaves, func(a, b leaf) int { return strings.Compare(a.name, b.name) })
	return Document{leaves: leaves}
}
