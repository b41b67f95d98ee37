package shards

import "fmt"

// Error is an invalid field of a map.
type Error struct {
	Field  string // the kebab-case key
	Reason string // the problem, with the limit
}

// Error returns the field and the reason in one line.
func (e *Error) Error() string { return fmt.Sprintf("shard map: %s: %s", e.Field, e.Reason) }
