package slots

import (
	"fmt"
	"slices"
	"time"

	"persimmonstage/core/needs"
)

const (
	wholeHost      = 1000             // thousandths
	maxLag         = 10 * time.Second // of a usage report
	maxCorrections = 4096             // team and kind pairs
)

// Slots tracks the capacity of one host and its leases; the zero value has no capacity.
type Slots struct {
	capacity      needs.Vector
	taken         needs.Vector
	leases        map[string]*leaseRecord
	corrections   map[share]*correction
	seq           uint64
	underPressure bool // the guard allows no further starts
}

type share struct{ team, kind string }

// FullError reports why a lease was refused; no capacity was taken.
type FullError struct {
	Key       string
	Need      string       // the first need that exceeds what is free, or "" when the key is already leased
	Requested needs.Vector // corrected needs
	Free      needs.Vector
}

// Error names the need that doesn't fit and the amounts.
func (e *FullError) Error() string {
	if e.Need == "" {
		return fmt.Sprintf("lease %q already exists", e.Key)
	}
	return fmt.Sprintf("lease %q needs %d %s, free %d", e.Key, e.Requested.Amount(e.Need), e.Need, e.Free.Amount(e.Need))
}

// SetCapacity sets the capacity of the whole host; leases in force stay.
func (s *Slots) SetCapacity(capacity needs.Vector) {
	s.init()
	s.capacity = capacity
}

// Free returns the capacity that no lease holds; a dimension is negative when tasks use more than they reserved.
func (s *Slots) Free() needs.Vector { return s.capacity.Sub(s.taken) }

// Room returns the capacity available for starts: none while the guard allows no starts.
func (s *Slots) Room() needs.Vector {
	if s.underPressure {
		return needs.Vector{}
	}
	return s.Free().Max(needs.Vector{})
}

// FirstExceeding names the first declared need that exceeds the whole host, or returns "".
func (s *Slots) FirstExceeding(declared needs.Vector) string {
	return declared.FirstExceeding(s.capacity)
}

// Size returns the dominant share of the host that the corrected needs take, in thousandths.
func (s *Slots) Size(team, kind string, declared needs.Vector) int64 {
	return s.Correct(team, kind, declared).DominantShare(s.capacity)
}

// Fits reports whether a task with these declared needs can start now.
func (s *Slots) Fits(team, kind string, declared needs.Vector) bool {
	return !s.underPressure && s.Correct(team, kind, declared).Fits(s.Free())
}

// Take reserves capacity until End, or returns a *FullError. Unlike Fits, it doesn't check whether the guard allows starts.
func (s *Slots) Take(l Lease) error {
	s.init()
	if h, ok := s.leases[l.Key]; ok && h.forgetAt.IsZero() {
		return &FullError{Key: l.Key, Free: s.Free()}
	}
	corrected := s.Correct(l.Team, l.Kind, l.Needs)
	if need := corrected.FirstExceeding(s.Free()); need != "" {
		return &FullError{Key: l.Key, Need: need, Requested: corrected, Free: s.Free()}
	}
	s.seq++
	s.leases[l.Key] = &leaseRecord{lease: l, reserved: corrected, seq: s.seq}
	s.taken = s.taken.Add(corrected)
	return nil
}

// Renew sets a new expiry time of a lease and reports whether it is in force.
func (s *Slots) Renew(key string, expires time.Time) bool {
	h, ok := s.leases[key]
	if !ok || !h.forgetAt.IsZero() {
		return false
	}
	h.lease.Expires = expires
	return true
}

// SetCheckpointing sets whether the platform can checkpoint the task of a lease.
func (s *Slots) SetCheckpointing(key string, can bool) {
	if h, ok := s.leases[key]; ok {
		h.lease.Checkpointing = can
	}
}

// InForce reports whether a lease exists and has not ended.
func (s *Slots) InForce(key string) bool {
	h, ok := s.leases[key]
	return ok && h.forgetAt.IsZero()
}

// Expiring returns the keys of the leases in force that expire before a time, sorted.
func (s *Slots) Expiring(before time.Time) []string {
	var keys []string
	for key, h := range s.leases {
		if h.forgetAt.IsZero() && !h.lease.Expires.IsZero() && h.lease.Expires.Before(before) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// End returns the capacity of a lease; its later reports are still learned from for maxLag.
func (s *Slots) End(key string, now time.Time) bool {
	h, ok := s.leases[key]
	if !ok || !h.forgetAt.IsZero() {
		return false
	}
	s.taken = s.taken.Sub(h.occupied())
	h.forgetAt = now.Add(maxLag)
	return true
}

func (s *Slots) init() {
	if s.leases == nil {
		s.leases = map[string]*leaseRecord{}
		s.corrections = map[share]*correction{}
	}
}
