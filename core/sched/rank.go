package sched

import "time"

const (
	// similarPaceRatio is the ratio of paces up to which targets count as equally fast: a measured pace is off by about 10 %.
	similarPaceRatio = 1.3
	// sampleSize is the number of random targets of which the best is taken. If every entry took the best of all targets, they
	// would all choose the same one, which would refuse most of the attempts.
	sampleSize = 3
	// apartSampleSize is the same as long as each of these would slow the task down or be slowed down.
	apartSampleSize = 9
)

// candidate is a target with free capacity for a task, and the expected run time there.
type candidate struct {
	target       *target
	run          time.Duration
	freeFraction float64 // of its cores
	lastSlot     bool    // no second task would fit
	slowdown     float64 // logarithm of the factors by which the task and the runs there slow each other down, added up
}

// term is one criterion by which targets that can run a task in time are ranked.
type term struct {
	name string
	// value rates a target for a task; the lower value is preferred.
	value func(c *candidate) float64
	// ratio is the ratio up to which two values, which are positive then, count as equal; 1 if any difference counts.
	ratio float64
}

// ranking is a list of terms; a term decides only between targets that the ones before it rate as equal.
type ranking []term

// Terms of the rankings.
var (
	// soundTerm spares targets that fail a part of what they run, while others have room.
	soundTerm = term{"sound", func(c *candidate) float64 { return c.target.state.Failing }, 1}
	// roomTerm spares targets with room for a single task, which another entry may take first.
	roomTerm = term{"room", func(c *candidate) float64 {
		if c.lastSlot {
			return 1
		}
		return 0
	}, 1}
	// apartTerm avoids targets with runs that the task slows down or is slowed down by.
	apartTerm = term{"apart", func(c *candidate) float64 { return c.slowdown }, 1}
	slowTerm  = term{"slow", func(c *candidate) float64 { return 1 / float64(max(1, c.run)) }, similarPaceRatio}
	fastTerm  = term{"fast", func(c *candidate) float64 { return float64(max(1, c.run)) }, similarPaceRatio}
	freeTerm  = term{"free", func(c *candidate) float64 { return -c.freeFraction }, 1}
)

var (
	// economical ranks targets that end a task well before its deadline: fast ones stay free for long tasks.
	economical = ranking{soundTerm, roomTerm, apartTerm, slowTerm, freeTerm}
	// urgent ranks targets that end a task shortly before its deadline.
	urgent = ranking{soundTerm, roomTerm, fastTerm, apartTerm, freeTerm}
)

// prefers reports whether a is preferred to b, and the name of the term that decides.
func (r ranking) prefers(a, b *candidate) (bool, string) {
	for i := range r {
		t := &r[i]
		va, vb := t.value(a), t.value(b)
		switch {
		case va < vb && (t.ratio == 1 || va*t.ratio < vb):
			return true, t.name
		case vb < va && (t.ratio == 1 || vb*t.ratio < va):
			return false, t.name
		}
	}
	return false, ""
}

// pick returns the best of a random sample of list by a ranking. It reorders list.
func (s *Sched) pick(list []candidate, r ranking) *target {
	best := s.sample(list, 0)
	for i := 1; i < min(apartSampleSize, len(list)) && (i < sampleSize || best.slowdown > 0); i++ {
		c := s.sample(list, i)
		if better, _ := r.prefers(c, best); better {
			best = c
		}
	}
	return best.target
}

// sample swaps a random candidate of list[i:] to position i and returns it.
func (s *Sched) sample(list []candidate, i int) *candidate {
	k := i + s.rng.IntN(len(list)-i)
	list[i], list[k] = list[k], list[i]
	return &list[i]
}
