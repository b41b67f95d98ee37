package lease

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const maxReason = 200 // bytes

// Error is a request that the lease service refused or gave no whole answer to; in the second case it may have taken effect.
type Error struct {
	path   string
	status int // zero without an answer
	reason string
	cause  error
}

// Error names the path, and the status or why there was no answer.
func (e *Error) Error() string {
	if e.status == 0 {
		return fmt.Sprintf("lease service: %s: %v", e.path, e.cause)
	}
	return fmt.Sprintf("lease service: %s: status %d: %s", e.path, e.status, e.reason)
}

// Unwrap gives why there was no answer.
func (e *Error) Unwrap() error { return e.cause }

// Refused reports whether the service answered that it won't; asking again is of no use.
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
	return out.Reason[:min(len(out.Reason), maxReason)]
}
