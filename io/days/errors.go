package days

import "fmt"

// Error is the reason why there is no page for a requested day.
type Error struct {
	day    string
	reason string
	status int
}

// Error returns the day and the reason.
func (e *Error) Error() string { return fmt.Sprintf("day %q: %s", e.day, e.reason) }

// Day returns the requested day, unparsed.
func (e *Error) Day() string { return e.day }

// Status returns the HTTP status for the error.
func (e *Error) Status() int { return e.status }
