package submit

import "fmt"

// Error tells which field of a request is wrong, why, and the limit that it breaks.
type Error struct {
	field  string
	reason string
	limit  string
	status int
	ran    bool
}

// Error names the field, the reason and the limit.
func (e *Error) Error() string {
	if e.limit == "" {
		return e.field + ": " + e.reason
	}
	return fmt.Sprintf("%s: %s, limit %s", e.field, e.reason, e.limit)
}

// Status gives the HTTP status of the refusal.
func (e *Error) Status() int { return e.status }

// MayHaveRun tells that an earlier request with the same id may have run, so the refusal cannot say "not run".
func (e *Error) MayHaveRun() bool { return e.ran }
