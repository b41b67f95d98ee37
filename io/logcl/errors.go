package logcl

import "fmt"

// OutageError reports that the log gave no answer, or answered that it can't serve the request now.
type OutageError struct {
	op           string
	maybeApplied bool
	cause        error
}

// NewOutage returns the error of op; maybeApplied means that op may have taken effect.
func NewOutage(op string, maybeApplied bool, cause error) *OutageError {
	return &OutageError{op: op, maybeApplied: maybeApplied, cause: cause}
}

// Error returns the operation and the cause.
func (e *OutageError) Error() string { return fmt.Sprintf("log %s: %v", e.op, e.cause) }

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }

// MaybeApplied reports whether an append may have taken effect although its answer is missing.
func (e *OutageError) MaybeApplied() bool { return e.maybeApplied }

// TruncatedError reports that retention dropped the requested records.
type TruncatedError struct {
	from, first int64
}

// NewTruncated returns the error of a read from an offset before the oldest one, first.
func NewTruncated(from, first int64) *TruncatedError {
	return &TruncatedError{from: from, first: first}
}

// Error returns the requested offset and the oldest one that is left.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log read: offset %d is dropped, the oldest is %d", e.from, e.first)
}

// First returns the oldest retained offset, or the offset of the next append when no record is retained.
func (e *TruncatedError) First() int64 { return e.first }

// RefusedError reports that the log refused the request itself; retrying it is useless.
type RefusedError struct {
	status int
	reason string
}

// Error returns the HTTP status and the log's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log refused with status %d: %s", e.status, e.reason)
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }
