package shards

import "fmt"

// Error says which field of a map is wrong, and why.
type Error struct {
	Field  string // the kebab-case key
	Reason string // what is wrong, with the limit
}

// Error returns the field and the reason in one line.
func (e *Error) Error() string { return fmt.Sprintf("shard map: %s: %s", e.Field, e.Reason) }
