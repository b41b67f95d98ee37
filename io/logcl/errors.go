package logcl

import "fmt"

// OutageError says that the log gave no answer, or one that it can't serve now.
type OutageError struct {
	op    string
	maybe bool
	cause error
}

// NewOutage returns the error of op; maybe tells that it may have taken effect.
func NewOutage(op string, maybe bool, cause error) *OutageError {
	return &OutageError{op: op, maybe: maybe, cause: cause}
}

// Error names the operation and the cause.
func (e *OutageError) Error() string { return fmt.Sprintf("log %s: %v", e.op, e.cause) }

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }

// MaybeApplied is true when an append may have taken effect although its answer is missing.
func (e *OutageError) MaybeApplied() bool { return e.maybe }

// TruncatedError says that retention dropped the records asked for.
type TruncatedError struct {
	from, first int64
}

// NewTruncated returns the error of a read from an offset before the oldest one, first.
func NewTruncated(from, first int64) *TruncatedError {
	return &TruncatedError{from: from, first: first}
}

// Error names the offset asked for and the oldest one that is left.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log read: offset %d is dropped, the oldest is %d", e.from, e.first)
}

// First returns the oldest offset that the log still holds, or will hold next when it holds none.
func (e *TruncatedError) First() int64 { return e.first }

// RefusedError says that the log refused the request itself; sending it again is no use.
type RefusedError struct {
	status int
	reason string
}

// Error names the HTTP status and the log's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log refused with status %d: %s", e.status, e.reason)
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }
