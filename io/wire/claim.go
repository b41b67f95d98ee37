package wire

import (
	"math"
	"time"

	"persimmonstage/core/claims"
)

// LeftMS returns the whole milliseconds from now until a time, rounded up: 1 if it has passed, and 0 if it is zero.
func LeftMS(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	ms := (at.Sub(now) + time.Millisecond - 1).Milliseconds()
	return uint32(min(max(1, ms), math.MaxUint32))
}

// EndOf returns the time that LeftMS has encoded, by the clock of the receiving host, or the zero time for 0.
func EndOf(now time.Time, leftMS uint32) time.Time {
	if leftMS == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(leftMS) * time.Millisecond)
}

// NewClaims encodes claims.
func NewClaims(now time.Time, list []claims.Claim) []*JobClaim {
	var out []*JobClaim
	for _, c := range list {
		out = append(out, &JobClaim{Job: c.Job, Holder: c.Holder, Serial: c.Serial, LeftMs: LeftMS(now, c.Until)})
	}
	return out
}

// Claim decodes a claim.
func (m *JobClaim) Claim(now time.Time) claims.Claim {
	return claims.Claim{Job: m.GetJob(), Holder: m.GetHolder(), Serial: m.GetSerial(), Until: EndOf(now, m.GetLeftMs())}
}
