package delta

import (
	"encoding/json"
	"slices"
	"strings"

	"persimmonstage/core/lines"
)

// Change sets one key of a document to a TOML literal, or removes it.
type Change struct {
	key     []string
	literal string
}

// Set returns the Change that sets key to the TOML literal.
func Set(key []string, literal string) Change { return Change{key: key, literal: literal} }

// Remove returns the Change that removes key.
func Remove(key []string) Change { return Change{key: key} }

// Key returns the parts of the key.
func (c Change) Key() []string { return c.key }

// Name returns the key joined by dots.
func (c Change) Name() string { return lines.Dotted(c.key) }

// Literal returns the new value in TOML, or "" when the key is removed.
func (c Change) Literal() string { return c.literal }

// Removed reports whether the change removes the key.
func (c Change) Removed() bool { return c.literal == "" }

// String renders the change as "key = literal" or "key removed".
func (c Change) String() string {
	if c.Removed() {
		return c.Name() + " removed"
	}
	return c.Name() + " = " + c.literal
}

type jsonChange struct {
	Key     []string `json:"key"`
	Literal string   `json:"literal,omitempty"`
}

// MarshalJSON encodes the key's parts and the literal, which is omitted when the key is removed.
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(jsonChange{Key: c.key, Literal: c.literal})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (c *Change) UnmarshalJSON(data []byte) error {
	var j jsonChange
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*c = Change{key: j.Key, literal: j.Literal}
	return nil
}

// Join returns the last change of each key, sorted by key.
func Join(changes []Change) []Change {
	last := make(map[string]Change, len(changes))
	for _, c := range changes {
		last[c.Name()] = c
	}
	out := make([]Change, 0, len(last))
	for _, c := range last {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Name(), b.Name()) })
	return out
}

// Names returns the dotted keys of the changes.
func Names(changes []Change) []string {
	out := make([]string, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.Name())
	}
	return out
}
