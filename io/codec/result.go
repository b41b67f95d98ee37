package codec

import (
	"time"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/result"
	"persimmonstage/io/wire"
)

// EncodeResult returns the protobuf form of a result.
func EncodeResult(r *result.Result) *wire.Result {
	return &wire.Result{
		Attempt: r.Attempt, Team: r.Key.Team, Id: r.Key.ID, Index: uint32(r.Index),
		Ok: r.OK, Output: r.Output, Reason: r.Reason, RunUs: uint64(r.Ran.Microseconds()),
	}
}

// DecodeResult returns the result of its protobuf form.
func DecodeResult(r *wire.Result) *result.Result {
	return &result.Result{
		Attempt: r.Attempt, Key: jobkey.Key{Team: r.Team, ID: r.Id}, Index: int(r.Index),
		OK: r.Ok, Output: r.Output, Reason: r.Reason, Ran: time.Duration(r.RunUs) * time.Microsecond,
	}
}
