package slots

import (
	"time"

	"persimmonstage/core/needs"
)

// Lease is a task's claim to a part of the host.
type Lease struct {
	Key           string
	Team          string
	Kind          string
	Urgency       int          // the guard acts on lower ones first
	Needs         needs.Vector // as declared
	Checkpointing bool         // the platform can checkpoint the task
	Expires       time.Time    // when the platform takes the lease back; zero means never
}

type state int

const (
	running state = iota
	throttled
	leaving // requested to checkpoint or stop
)

// leaseRecord is a lease in force, or an ended one for which reports may still arrive.
type leaseRecord struct {
	lease       Lease
	reserved    needs.Vector // corrected needs
	used        needs.Vector // as last reported
	peak        needs.Vector // maximum of the reports
	reportedAt  time.Time    // time of the last report; zero means none
	growth      float64      // megabytes per second between the last two reports
	state       state
	lastVerb    Verb
	checkpoints int
	requestedAt time.Time // when the last action was first requested
	repeatAt    time.Time // when it is requested again
	seq         uint64
	forgetAt    time.Time // when an ended lease is removed; zero while in force
}

// occupied returns the capacity that the lease takes: the larger of reserved and used.
func (h *leaseRecord) occupied() needs.Vector { return h.reserved.Max(h.used) }

// isLeaving reports whether the task was requested to checkpoint or stop and the request hasn't timed out.
func (h *leaseRecord) isLeaving(now time.Time) bool {
	return h.state == leaving && now.Before(h.repeatAt)
}

// projectedMemory returns the projected use in megabytes.
func (h *leaseRecord) projectedMemory(now time.Time) float64 {
	switch {
	case h.isLeaving(now):
		return 0
	case h.reportedAt.IsZero():
		return float64(h.reserved.MemoryMB)
	}
	age := min(max(now.Sub(h.reportedAt), 0), maxLag)
	return float64(h.used.MemoryMB) + max(h.growth, 0)*age.Seconds()
}

// projectedCores returns the projected use.
func (h *leaseRecord) projectedCores(now time.Time) float64 {
	switch {
	case h.isLeaving(now):
		return 0
	case h.reportedAt.IsZero():
		return float64(h.reserved.Cores)
	case h.state == throttled && !h.reportedAt.After(h.requestedAt):
		return float64(h.used.Cores) * throttledFraction
	}
	return float64(h.used.Cores)
}
