package lease

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const maxReasonBytes = 200

// Error reports a request that the lease service refused, or did not fully answer, in which case it may have taken effect.
type Error struct {
	path   string
	status int // zero without an answer
	reason string
	cause  error
}

// Error returns the path with the status and reason, or the cause of a missing answer.
func (e *Error) Error() string {
	if e.status == 0 {
		return fmt.Sprintf("lease service: %s: %v", e.path, e.cause)
	}
	return fmt.Sprintf("lease service: %s: status %d: %s", e.path, e.status, e.reason)
}

// Unwrap returns the cause of a missing answer.
func (e *Error) Unwrap() error { return e.cause }

// Refused reports whether the service refused the request; retrying it is useless.
func (e *Error) Refused() bool {
	return e.status >= fasthttp.StatusBadRequest && e.status < fasthttp.StatusInternalServerError
}

func refused(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Refused()
}

func reason(body []byte) string {
	var out struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		out.Reason = string(body)
	}
	return out.Reason[:min(len(out.Reason), maxReasonBytes)]
}
