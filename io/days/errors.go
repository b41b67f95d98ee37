package days

import "fmt"

// Error says why there is no page for a day that was asked for.
type Error struct {
	day    string
	reason string
	status int
}

// Error names the day and the reason.
func (e *Error) Error() string { return fmt.Sprintf("day %q: %s", e.day, e.reason) }

// Day returns the day as it was asked for.
func (e *Error) Day() string { return e.day }

// Status returns the HTTP status that tells of the error.
func (e *Error) Status() int { return e.status }
