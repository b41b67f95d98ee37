package slots

import (
	"cmp"
	"slices"
	"time"
)

// Verb is what the guard asks the platform to do with a task.
type Verb string

// The verbs, from mild to hard.
const (
	Resume     Verb = "resume"
	Throttle   Verb = "throttle"
	Checkpoint Verb = "checkpoint"
	Stop       Verb = "stop"
)

// Causes of an action.
const (
	MemoryShort = "memory-short"
	CoresShort  = "cores-short"
	LeaseLapsed = "lease-lapsed"
	Relieved    = "relieved"
)

// Action is an effect that the guard asks for; asking twice does no harm.
type Action struct {
	Verb  Verb
	Key   string
	Cause string
}

// Levels of projected use, in parts of the capacity.
const (
	memoryEvict    = 0.95 // checkpoint or stop above it, down to memoryStart
	memoryStart    = 0.90 // no starts above it, and what grows is throttled
	memoryResume   = 0.80
	coresShort     = 0.98 // throttle what uses more than it holds from here, down to coresTarget
	coresTarget    = 0.90
	coresResume    = 0.70
	throttledPart  = 0.5 // of the cores that a throttled task goes on using
	actionTimeout  = 5 * time.Second
	maxCheckpoints = 2 // tries before the task is stopped
)

// Guard returns what to do now, least urgent first; call it about once a second.
func (s *Slots) Guard(now time.Time) []Action {
	s.init()
	s.forget(now)
	actions := s.lapse(now)
	victims := s.victims()
	actions = s.relieveMemory(actions, victims, now)
	actions = s.relieveCores(actions, victims, now)
	actions = s.resume(actions, victims, now)
	s.pressed = s.memory(now) > memoryStart && s.exceeded(now)
	return actions
}

// forget settles ended leases of which no report is awaited.
func (s *Slots) forget(now time.Time) {
	for key, h := range s.holds {
		if !h.gone.IsZero() && !h.gone.After(now) {
			s.settle(h)
			delete(s.holds, key)
		}
	}
}

// lapse stops what runs on without a lease, since the platform may have given its place away.
func (s *Slots) lapse(now time.Time) []Action {
	var actions []Action
	for _, h := range s.holds {
		if !h.gone.IsZero() || h.lease.Expires.IsZero() || h.lease.Expires.After(now) {
			continue
		}
		if h.awaited(now) {
			continue
		}
		actions = append(actions, h.ask(Stop, LeaseLapsed, now))
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Key, b.Key) })
	return actions
}

// victims returns the leases in force: least urgent first, then the most above what it holds, then the newest.
func (s *Slots) victims() []*hold {
	var holds []*hold
	for _, h := range s.holds {
		if h.gone.IsZero() {
			holds = append(holds, h)
		}
	}
	slices.SortFunc(holds, func(a, b *hold) int {
		return cmp.Or(
			cmp.Compare(a.lease.Urgency, b.lease.Urgency),
			cmp.Compare(b.excess(), a.excess()),
			cmp.Compare(b.seq, a.seq),
		)
	})
	return holds
}

func (h *hold) excess() int { return max(h.used.MemoryMB-h.holds.MemoryMB, 0) }

// exceeded reports whether some lease uses more memory than it holds; while none does, the host has room for all, however full.
func (s *Slots) exceeded(now time.Time) bool {
	for _, h := range s.holds {
		if h.gone.IsZero() && h.memory(now) > float64(h.holds.MemoryMB) {
			return true
		}
	}
	return false
}

// relieveMemory evicts while the host is about to run out, and throttles one growing task a round before that.
func (s *Slots) relieveMemory(actions []Action, victims []*hold, now time.Time) []Action {
	if !s.exceeded(now) {
		return actions
	}
	level := s.memory(now)
	if level > memoryEvict {
		return s.evict(actions, victims, level, now)
	}
	if level <= memoryStart {
		return actions
	}
	for _, h := range victims {
		if h.state == runs && h.growth > 0 {
			return append(actions, h.ask(Throttle, MemoryShort, now))
		}
	}
	return actions
}

func (s *Slots) evict(actions []Action, victims []*hold, level float64, now time.Time) []Action {
	for _, h := range victims {
		freed := h.memory(now) / float64(s.capacity.MemoryMB)
		if level <= memoryStart {
			break
		}
		if freed > 0 {
			actions = append(actions, h.ask(h.eviction(), MemoryShort, now))
			level -= freed
		}
	}
	return actions
}

// eviction returns the mildest verb that frees the memory of a task.
func (h *hold) eviction() Verb {
	if h.lease.Checkpointing && h.tries < maxCheckpoints {
		h.tries++
		return Checkpoint
	}
	return Stop
}

// relieveCores throttles what uses more than it holds; a host that is full of tasks within their needs is left alone.
func (s *Slots) relieveCores(actions []Action, victims []*hold, now time.Time) []Action {
	level := s.cores(now)
	if level < coresShort {
		return actions
	}
	for _, h := range victims {
		if level <= coresTarget {
			break
		}
		if h.used.Cores <= h.holds.Cores || h.state == leaves || now.Before(h.repeat) {
			continue
		}
		before := h.cores(now)
		actions = append(actions, h.ask(Throttle, CoresShort, now))
		level -= (before - h.cores(now)) / float64(s.capacity.Cores)
	}
	return actions
}

// resume lets the most urgent throttled task go on, one at a time, when there is room again.
func (s *Slots) resume(actions []Action, victims []*hold, now time.Time) []Action {
	if s.memory(now) >= memoryResume || s.cores(now) >= coresResume {
		return actions
	}
	for _, h := range slices.Backward(victims) {
		if h.state == throttled && !now.Before(h.repeat) {
			return append(actions, h.ask(Resume, Relieved, now))
		}
	}
	return actions
}

func (h *hold) ask(verb Verb, cause string, now time.Time) Action {
	switch verb {
	case Resume:
		h.state = runs
	case Throttle:
		h.state = throttled
	default:
		h.state = leaves
	}
	if verb != h.asked {
		h.since = now
	}
	h.asked = verb
	h.repeat = now.Add(actionTimeout)
	return Action{Verb: verb, Key: h.lease.Key, Cause: cause}
}

// memory returns the projected part of the host's memory in use.
func (s *Slots) memory(now time.Time) float64 {
	if s.capacity.MemoryMB <= 0 {
		return 0
	}
	var sum float64
	for _, h := range s.holds {
		if h.gone.IsZero() {
			sum += h.memory(now)
		}
	}
	return sum / float64(s.capacity.MemoryMB)
}

// cores returns the projected part of the host's cores in use.
func (s *Slots) cores(now time.Time) float64 {
	if s.capacity.Cores <= 0 {
		return 0
	}
	var sum float64
	for _, h := range s.holds {
		if h.gone.IsZero() {
			sum += h.cores(now)
		}
	}
	return sum / float64(s.capacity.Cores)
}
