package slots

import (
	"fmt"
	"slices"
	"time"

	"persimmonstage/core/needs"
)

const (
	wholeHost  = 1000             // thousandths
	maxLag     = 10 * time.Second // of a usage report
	maxLessons = 4096             // team and kind pairs
)

// Slots is the capacity of one host and what is held of it; the zero value has no capacity.
type Slots struct {
	capacity needs.Vector
	taken    needs.Vector
	holds    map[string]*hold
	lessons  map[share]*lesson
	seq      uint64
	pressed  bool // the guard wants no further starts
}

type share struct{ team, kind string }

// FullError is the refusal of a lease; nothing was taken.
type FullError struct {
	Key       string
	Need      string       // first need that is too large, or "" when the key is held already
	Requested needs.Vector // corrected needs
	Free      needs.Vector
}

// Error names the need and the amounts.
func (e *FullError) Error() string {
	if e.Need == "" {
		return fmt.Sprintf("lease %q is held already", e.Key)
	}
	return fmt.Sprintf("lease %q needs %d %s, free %d", e.Key, e.Requested.Amount(e.Need), e.Need, e.Free.Amount(e.Need))
}

// SetCapacity sets what the whole host has; leases in force stay.
func (s *Slots) SetCapacity(capacity needs.Vector) {
	s.init()
	s.capacity = capacity
}

// Free returns what no lease holds; a dimension is negative when tasks use more than they were given.
func (s *Slots) Free() needs.Vector { return s.capacity.Sub(s.taken) }

// Room returns what can still be given away: nothing while the guard wants no starts.
func (s *Slots) Room() needs.Vector {
	if s.pressed {
		return needs.Vector{}
	}
	return s.Free().Max(needs.Vector{})
}

// Lacks names the first declared need that is larger than the whole host, or returns "".
func (s *Slots) Lacks(declared needs.Vector) string { return declared.FirstExceeding(s.capacity) }

// Size returns the dominant part of the host that corrected needs take, in thousandths.
func (s *Slots) Size(team, kind string, declared needs.Vector) int64 {
	return s.Correct(team, kind, declared).DominantShare(s.capacity)
}

// Fits reports whether a task with these declared needs can start now.
func (s *Slots) Fits(team, kind string, declared needs.Vector) bool {
	return !s.pressed && s.Correct(team, kind, declared).Fits(s.Free())
}

// Take holds capacity until End, or returns a *FullError. It doesn't look at the guard's wish, which Fits does.
func (s *Slots) Take(l Lease) error {
	s.init()
	if h, ok := s.holds[l.Key]; ok && h.gone.IsZero() {
		return &FullError{Key: l.Key, Free: s.Free()}
	}
	asks := s.Correct(l.Team, l.Kind, l.Needs)
	if need := asks.FirstExceeding(s.Free()); need != "" {
		return &FullError{Key: l.Key, Need: need, Requested: asks, Free: s.Free()}
	}
	s.seq++
	s.holds[l.Key] = &hold{lease: l, holds: asks, seq: s.seq}
	s.taken = s.taken.Add(asks)
	return nil
}

// Renew moves the end of a lease.
func (s *Slots) Renew(key string, expires time.Time) bool {
	h, ok := s.holds[key]
	if !ok || !h.gone.IsZero() {
		return false
	}
	h.lease.Expires = expires
	return true
}

// SetCheckpointing says whether the platform can checkpoint the task of a lease.
func (s *Slots) SetCheckpointing(key string, can bool) {
	if h, ok := s.holds[key]; ok {
		h.lease.Checkpointing = can
	}
}

// InForce reports whether a lease is held and has not been given back.
func (s *Slots) InForce(key string) bool {
	h, ok := s.holds[key]
	return ok && h.gone.IsZero()
}

// Expiring returns the leases in force that end before a time, in the order of their keys.
func (s *Slots) Expiring(before time.Time) []string {
	var keys []string
	for key, h := range s.holds {
		if h.gone.IsZero() && !h.lease.Expires.IsZero() && h.lease.Expires.Before(before) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// End gives back what a lease held; reports on it are still learned from for the longest lag.
func (s *Slots) End(key string, now time.Time) bool {
	h, ok := s.holds[key]
	if !ok || !h.gone.IsZero() {
		return false
	}
	s.taken = s.taken.Sub(h.takes())
	h.gone = now.Add(maxLag)
	return true
}

func (s *Slots) init() {
	if s.holds == nil {
		s.holds = map[string]*hold{}
		s.lessons = map[share]*lesson{}
	}
}
