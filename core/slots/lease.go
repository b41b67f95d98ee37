package slots

import (
	"time"

	"persimmonstage/core/needs"
)

// Lease is a task's hold on a part of the host.
type Lease struct {
	Key           string
	Team          string
	Kind          string
	Urgency       int          // lower is acted on first
	Needs         needs.Vector // as declared
	Checkpointing bool         // the platform can checkpoint the task
	Expires       time.Time    // when the platform takes the lease back; zero means never
}

type state int

const (
	runs state = iota
	throttled
	leaves // asked to checkpoint or stop
)

// hold is a lease in force, or one that ended so lately that reports on it may still come.
type hold struct {
	lease  Lease
	holds  needs.Vector // corrected needs
	used   needs.Vector // as last reported
	peak   needs.Vector // of the reports
	at     time.Time    // of the last report; zero means none
	growth float64      // megabytes a second between the last two reports
	state  state
	asked  Verb
	tries  int
	since  time.Time // when the last action was asked for first
	repeat time.Time // when it is asked for again
	seq    uint64
	gone   time.Time // when an ended lease is forgotten; zero while in force
}

// takes returns what the lease keeps from others.
func (h *hold) takes() needs.Vector { return h.holds.Max(h.used) }

// awaited reports whether the task was asked to leave and may still do so.
func (h *hold) awaited(now time.Time) bool {
	return h.state == leaves && now.Before(h.repeat)
}

// memory returns the projected use in megabytes.
func (h *hold) memory(now time.Time) float64 {
	switch {
	case h.awaited(now):
		return 0
	case h.at.IsZero():
		return float64(h.holds.MemoryMB)
	}
	age := min(max(now.Sub(h.at), 0), maxLag)
	return float64(h.used.MemoryMB) + max(h.growth, 0)*age.Seconds()
}

// cores returns the projected use.
func (h *hold) cores(now time.Time) float64 {
	switch {
	case h.awaited(now):
		return 0
	case h.at.IsZero():
		return float64(h.holds.Cores)
	case h.state == throttled && !h.at.After(h.since):
		return float64(h.used.Cores) * throttledPart
	}
	return float64(h.used.Cores)
}
