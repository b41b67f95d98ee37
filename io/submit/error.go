package submit

import "fmt"

// Error describes an invalid field of a request: its name, the reason, and the limit that it violates, if any.
type Error struct {
	field      string
	reason     string
	limit      string
	status     int
	mayHaveRun bool
}

// Error returns the field, the reason and the limit as one line.
func (e *Error) Error() string {
	if e.limit == "" {
		return e.field + ": " + e.reason
	}
	return fmt.Sprintf("%s: %s, limit %s", e.field, e.reason, e.limit)
}

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int { return e.status }

// MayHaveRun reports whether an earlier request with the same id may have run, so that the refusal can't say "not run".
func (e *Error) MayHaveRun() bool { return e.mayHaveRun }
