package strain

import "time"

const (
	// span is the time over which the lateness is averaged: a tick that is late once says nothing.
	span = 500 * time.Millisecond
	// high is the mean lateness from which on the process is strained: work then waits that long for every step, of which a job
	// takes several. A host with time to spare ticks within 0.1 ms.
	high = 5 * time.Millisecond
	// low is the mean lateness below which it isn't strained any more; far below high, so that it doesn't change to and fro.
	low = time.Millisecond
	// stall is the time between two ticks from which on the host stood still: it isn't slow for that when it goes on.
	stall = time.Second
)

// Strain averages the lateness of ticks; the zero value is at ease.
type Strain struct {
	last     time.Time
	mean     time.Duration
	strained bool
}

// Tick notes a tick that was due a period after the one before, and reports whether the process has become strained or at ease.
func (s *Strain) Tick(now time.Time, period time.Duration) bool {
	before := s.last
	s.last = now
	if before.IsZero() {
		return false
	}
	gap := now.Sub(before)
	if gap >= stall {
		return false
	}
	weight := min(1, float64(gap)/float64(span))
	s.mean += time.Duration(weight * float64(max(0, gap-period)-s.mean))
	was := s.strained
	switch {
	case s.mean > high:
		s.strained = true
	case s.mean < low:
		s.strained = false
	}
	return s.strained != was
}

// Strained reports whether the host is too slow.
func (s *Strain) Strained() bool { return s.strained }

// Mean returns the mean lateness.
func (s *Strain) Mean() time.Duration { return s.mean }
