package slots

import (
	"time"

	"persimmonstage/core/needs"
)

const (
	maxFactor   = 16.0     // bound of a correction, up and down
	gainUp      = 0.5      // step towards a larger factor
	gainDown    = 1.0 / 16 // step towards a smaller factor
	lowerAfter  = 3        // tasks seen before a declared size is lowered
	lessonSlack = 1.1      // factor above what was seen
)

// lesson is what tasks of one team and kind were seen to use, over what they declared.
type lesson struct {
	cores  factor
	memory factor
	used   uint64 // sequence number of the last change
}

// factor follows the ratio of used to declared, or the used amount itself where nothing is declared. It rises fast and
// falls slowly, since too little hurts the host and too much only leaves room unused.
type factor struct {
	ratio  float64
	amount float64
	seen   int
}

func (f *factor) learn(used, declared int) {
	if declared <= 0 {
		f.amount = towards(f.amount, float64(used))
		return
	}
	if f.seen == 0 {
		f.ratio = 1
	}
	f.seen++
	ratio := min(max(float64(used)/float64(declared), 1/maxFactor), maxFactor)
	f.ratio = towards(f.ratio, ratio)
}

func towards(old, seen float64) float64 {
	if seen > old {
		return old + gainUp*(seen-old)
	}
	return old + gainDown*(seen-old)
}

// correct returns the amount to hold for a declared one, at most the whole host unless more was declared.
func (f *factor) correct(declared, capacity int) int {
	asks := f.amount * lessonSlack
	if declared > 0 {
		asks = max(float64(declared)*f.scale(), 1)
	}
	return min(int(asks+0.5), max(capacity, declared))
}

// scale returns the correction of a declared amount; small differences are left alone, so that exact sizes still fit.
func (f *factor) scale() float64 {
	if f.ratio > lessonSlack {
		return f.ratio
	}
	if f.seen < lowerAfter {
		return 1
	}
	return min(f.ratio*lessonSlack, 1)
}

// Correct returns what tasks of a team and kind with these declared needs are given.
func (s *Slots) Correct(team, kind string, declared needs.Vector) needs.Vector {
	l, ok := s.lessons[share{team, kind}]
	if !ok {
		return declared
	}
	asks := declared
	if l.cores.seen > 0 || declared.Cores == 0 {
		asks.Cores = l.cores.correct(declared.Cores, s.capacity.Cores)
	}
	if l.memory.seen > 0 || declared.MemoryMB == 0 {
		asks.MemoryMB = l.memory.correct(declared.MemoryMB, s.capacity.MemoryMB)
	}
	return asks
}

// Report takes the usage of a lease measured at a time; older reports than the last and unknown keys are ignored.
func (s *Slots) Report(key string, used needs.Vector, at time.Time) {
	h, ok := s.holds[key]
	if !ok || at.Before(h.at) {
		return
	}
	before := h.takes()
	h.grow(used, at)
	used.Slots, used.Accelerators = 0, 0
	h.used = used
	h.peak = h.peak.Max(used)
	h.at = at
	if h.gone.IsZero() {
		s.taken = s.taken.Sub(before).Add(h.takes())
	}
	s.rise(h)
}

func (h *hold) grow(used needs.Vector, at time.Time) {
	if h.at.IsZero() || !at.After(h.at) {
		return
	}
	h.growth = float64(used.MemoryMB-h.used.MemoryMB) / at.Sub(h.at).Seconds()
}

// rise learns at once from a running task that uses more than it holds, for those that start meanwhile.
func (s *Slots) rise(h *hold) {
	if h.used.Cores <= h.holds.Cores && h.used.MemoryMB <= h.holds.MemoryMB {
		return
	}
	l := s.lesson(h.lease.Team, h.lease.Kind)
	if h.used.Cores > h.holds.Cores {
		l.cores.learn(h.used.Cores, h.lease.Needs.Cores)
	}
	if h.used.MemoryMB > h.holds.MemoryMB {
		l.memory.learn(h.used.MemoryMB, h.lease.Needs.MemoryMB)
	}
}

// settle learns from the peak of a lease that has ended and gets no more reports.
func (s *Slots) settle(h *hold) {
	if h.at.IsZero() {
		return
	}
	l := s.lesson(h.lease.Team, h.lease.Kind)
	l.cores.learn(h.peak.Cores, h.lease.Needs.Cores)
	l.memory.learn(h.peak.MemoryMB, h.lease.Needs.MemoryMB)
}

func (s *Slots) lesson(team, kind string) *lesson {
	s.seq++
	key := share{team, kind}
	l, ok := s.lessons[key]
	if !ok {
		if len(s.lessons) >= maxLessons {
			s.forgetLesson()
		}
		l = &lesson{}
		s.lessons[key] = l
	}
	l.used = s.seq
	return l
}

func (s *Slots) forgetLesson() {
	var oldest share
	least := s.seq
	for key, l := range s.lessons {
		if l.used <= least {
			oldest, least = key, l.used
		}
	}
	delete(s.lessons, oldest)
}
