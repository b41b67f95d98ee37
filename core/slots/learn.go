package slots

import (
	"time"

	"persimmonstage/core/needs"
)

const (
	maxFactor      = 16.0     // limit of a correction, up and down
	gainUp         = 0.5      // step towards a larger factor
	gainDown       = 1.0 / 16 // step towards a smaller factor
	minSeenToLower = 3        // tasks observed before a declared size is lowered
	slackFactor    = 1.1      // margin above the observed usage
)

// correction holds the observed usage of tasks of one team and kind, relative to what they declared.
type correction struct {
	cores   factor
	memory  factor
	lastUse uint64 // sequence number of the last change
}

// factor tracks the ratio of used to declared, or the used amount itself where nothing is declared. It rises fast and
// falls slowly, since too small a factor overloads the host and too large a one only leaves capacity unused.
type factor struct {
	ratio  float64
	amount float64
	seen   int
}

func (f *factor) learn(used, declared int) {
	if declared <= 0 {
		f.amount = smooth(f.amount, float64(used))
		return
	}
	if f.seen == 0 {
		f.ratio = 1
	}
	f.seen++
	ratio := min(max(float64(used)/float64(declared), 1/maxFactor), maxFactor)
	f.ratio = smooth(f.ratio, ratio)
}

func smooth(old, seen float64) float64 {
	if seen > old {
		return old + gainUp*(seen-old)
	}
	return old + gainDown*(seen-old)
}

// correct returns the amount to reserve for a declared one, at most the whole host unless more was declared.
func (f *factor) correct(declared, capacity int) int {
	amount := f.amount * slackFactor
	if declared > 0 {
		amount = max(float64(declared)*f.scale(), 1)
	}
	return min(int(amount+0.5), max(capacity, declared))
}

// scale returns the correction of a declared amount; small differences are ignored, so that exact sizes still fit.
func (f *factor) scale() float64 {
	if f.ratio > slackFactor {
		return f.ratio
	}
	if f.seen < minSeenToLower {
		return 1
	}
	return min(f.ratio*slackFactor, 1)
}

// Correct returns the needs to reserve for a task of a team and kind with these declared needs.
func (s *Slots) Correct(team, kind string, declared needs.Vector) needs.Vector {
	l, ok := s.corrections[share{team, kind}]
	if !ok {
		return declared
	}
	corrected := declared
	if l.cores.seen > 0 || declared.Cores == 0 {
		corrected.Cores = l.cores.correct(declared.Cores, s.capacity.Cores)
	}
	if l.memory.seen > 0 || declared.MemoryMB == 0 {
		corrected.MemoryMB = l.memory.correct(declared.MemoryMB, s.capacity.MemoryMB)
	}
	return corrected
}

// Report records the usage of a lease measured at a time, and ignores unknown keys and reports older than the last.
func (s *Slots) Report(key string, used needs.Vector, at time.Time) {
	h, ok := s.leases[key]
	if !ok || at.Before(h.reportedAt) {
		return
	}
	before := h.occupied()
	h.updateGrowth(used, at)
	used.Slots, used.Accelerators = 0, 0
	h.used = used
	h.peak = h.peak.Max(used)
	h.reportedAt = at
	if h.forgetAt.IsZero() {
		s.taken = s.taken.Sub(before).Add(h.occupied())
	}
	s.learnEarly(h)
}

func (h *leaseRecord) updateGrowth(used needs.Vector, at time.Time) {
	if h.reportedAt.IsZero() || !at.After(h.reportedAt) {
		return
	}
	h.growth = float64(used.MemoryMB-h.used.MemoryMB) / at.Sub(h.reportedAt).Seconds()
}

// learnEarly learns at once from a running task that uses more than it reserved, for tasks that start before it ends.
func (s *Slots) learnEarly(h *leaseRecord) {
	if h.used.Cores <= h.reserved.Cores && h.used.MemoryMB <= h.reserved.MemoryMB {
		return
	}
	l := s.correction(h.lease.Team, h.lease.Kind)
	if h.used.Cores > h.reserved.Cores {
		l.cores.learn(h.used.Cores, h.lease.Needs.Cores)
	}
	if h.used.MemoryMB > h.reserved.MemoryMB {
		l.memory.learn(h.used.MemoryMB, h.lease.Needs.MemoryMB)
	}
}

// learnPeak learns from the peak usage of an ended lease that gets no more reports.
func (s *Slots) learnPeak(h *leaseRecord) {
	if h.reportedAt.IsZero() {
		return
	}
	l := s.correction(h.lease.Team, h.lease.Kind)
	l.cores.learn(h.peak.Cores, h.lease.Needs.Cores)
	l.memory.learn(h.peak.MemoryMB, h.lease.Needs.MemoryMB)
}

func (s *Slots) correction(team, kind string) *correction {
	s.seq++
	key := share{team, kind}
	l, ok := s.corrections[key]
	if !ok {
		if len(s.corrections) >= maxCorrections {
			s.evictCorrection()
		}
		l = &correction{}
		s.corrections[key] = l
	}
	l.lastUse = s.seq
	return l
}

func (s *Slots) evictCorrection() {
	var oldest share
	least := s.seq
	for key, l := range s.corrections {
		if l.lastUse <= least {
			oldest, least = key, l.lastUse
		}
	}
	delete(s.corrections, oldest)
}
