package slots

import (
	"cmp"
	"slices"
	"time"
)

// Verb is an action of the guard on a task, which the platform carries out.
type Verb string

// Verbs, from the mildest to the most severe.
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

// Action is a request of the guard to the platform; it is idempotent.
type Action struct {
	Verb  Verb
	Key   string
	Cause string
}

// Levels of projected use, as fractions of the capacity.
const (
	memoryEvict       = 0.95 // checkpoint or stop above it, down to memoryStart
	memoryStart       = 0.90 // no starts above it, and growing tasks are throttled
	memoryResume      = 0.80
	coresShort        = 0.98 // from here throttle tasks that use more than their lease, down to coresTarget
	coresTarget       = 0.90
	coresResume       = 0.70
	throttledFraction = 0.5 // of its cores, which a throttled task still uses
	actionTimeout     = 5 * time.Second
	maxCheckpoints    = 2 // attempts before the task is stopped
)

// Guard returns the actions needed now, least urgent lease first; call it about once a second.
func (s *Slots) Guard(now time.Time) []Action {
	s.init()
	s.settleEnded(now)
	actions := s.stopLapsed(now)
	victims := s.victims()
	actions = s.relieveMemory(actions, victims, now)
	actions = s.relieveCores(actions, victims, now)
	actions = s.resume(actions, victims, now)
	s.underPressure = s.memoryUse(now) > memoryStart && s.exceeded(now)
	return actions
}

// settleEnded learns from and removes ended leases that can get no more reports.
func (s *Slots) settleEnded(now time.Time) {
	for key, h := range s.leases {
		if !h.forgetAt.IsZero() && !h.forgetAt.After(now) {
			s.learnPeak(h)
			delete(s.leases, key)
		}
	}
}

// stopLapsed stops tasks whose lease has expired, since the platform may have given their capacity away.
func (s *Slots) stopLapsed(now time.Time) []Action {
	var actions []Action
	for _, h := range s.leases {
		if !h.forgetAt.IsZero() || h.lease.Expires.IsZero() || h.lease.Expires.After(now) {
			continue
		}
		if h.isLeaving(now) {
			continue
		}
		actions = append(actions, h.request(Stop, LeaseLapsed, now))
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Key, b.Key) })
	return actions
}

// victims returns the leases in force: least urgent first, then the largest excess of memory, then the newest.
func (s *Slots) victims() []*leaseRecord {
	var records []*leaseRecord
	for _, h := range s.leases {
		if h.forgetAt.IsZero() {
			records = append(records, h)
		}
	}
	slices.SortFunc(records, func(a, b *leaseRecord) int {
		return cmp.Or(
			cmp.Compare(a.lease.Urgency, b.lease.Urgency),
			cmp.Compare(b.excess(), a.excess()),
			cmp.Compare(b.seq, a.seq),
		)
	})
	return records
}

func (h *leaseRecord) excess() int { return max(h.used.MemoryMB-h.reserved.MemoryMB, 0) }

// exceeded reports whether some lease uses more memory than was reserved; while none does, even a full host has enough.
func (s *Slots) exceeded(now time.Time) bool {
	for _, h := range s.leases {
		if h.forgetAt.IsZero() && h.projectedMemory(now) > float64(h.reserved.MemoryMB) {
			return true
		}
	}
	return false
}

// relieveMemory evicts when the host is about to run out of memory, and before that throttles one growing task per round.
func (s *Slots) relieveMemory(actions []Action, victims []*leaseRecord, now time.Time) []Action {
	if !s.exceeded(now) {
		return actions
	}
	level := s.memoryUse(now)
	if level > memoryEvict {
		return s.evict(actions, victims, level, now)
	}
	if level <= memoryStart {
		return actions
	}
	for _, h := range victims {
		if h.state == running && h.growth > 0 {
			return append(actions, h.request(Throttle, MemoryShort, now))
		}
	}
	return actions
}

func (s *Slots) evict(actions []Action, victims []*leaseRecord, level float64, now time.Time) []Action {
	for _, h := range victims {
		freed := h.projectedMemory(now) / float64(s.capacity.MemoryMB)
		if level <= memoryStart {
			break
		}
		if freed > 0 {
			actions = append(actions, h.request(h.eviction(), MemoryShort, now))
			level -= freed
		}
	}
	return actions
}

// eviction returns the mildest verb that frees the memory of a task.
func (h *leaseRecord) eviction() Verb {
	if h.lease.Checkpointing && h.checkpoints < maxCheckpoints {
		h.checkpoints++
		return Checkpoint
	}
	return Stop
}

// relieveCores throttles tasks that use more than their lease; a host full of tasks within their needs needs no action.
func (s *Slots) relieveCores(actions []Action, victims []*leaseRecord, now time.Time) []Action {
	level := s.coresUse(now)
	if level < coresShort {
		return actions
	}
	for _, h := range victims {
		if level <= coresTarget {
			break
		}
		if h.used.Cores <= h.reserved.Cores || h.state == leaving || now.Before(h.repeatAt) {
			continue
		}
		before := h.projectedCores(now)
		actions = append(actions, h.request(Throttle, CoresShort, now))
		level -= (before - h.projectedCores(now)) / float64(s.capacity.Cores)
	}
	return actions
}

// resume resumes the most urgent throttled task, one per round, when there is capacity again.
func (s *Slots) resume(actions []Action, victims []*leaseRecord, now time.Time) []Action {
	if s.memoryUse(now) >= memoryResume || s.coresUse(now) >= coresResume {
		return actions
	}
	for _, h := range slices.Backward(victims) {
		if h.state == throttled && !now.Before(h.repeatAt) {
			return append(actions, h.request(Resume, Relieved, now))
		}
	}
	return actions
}

func (h *leaseRecord) request(verb Verb, cause string, now time.Time) Action {
	switch verb {
	case Resume:
		h.state = running
	case Throttle:
		h.state = throttled
	default:
		h.state = leaving
	}
	if verb != h.lastVerb {
		h.requestedAt = now
	}
	h.lastVerb = verb
	h.repeatAt = now.Add(actionTimeout)
	return Action{Verb: verb, Key: h.lease.Key, Cause: cause}
}

// memoryUse returns the projected fraction of the host's memory in use.
func (s *Slots) memoryUse(now time.Time) float64 {
	if s.capacity.MemoryMB <= 0 {
		return 0
	}
	var sum float64
	for _, h := range s.leases {
		if h.forgetAt.IsZero() {
			sum += h.projectedMemory(now)
		}
	}
	return sum / float64(s.capacity.MemoryMB)
}

// coresUse returns the projected fraction of the host's cores in use.
func (s *Slots) coresUse(now time.Time) float64 {
	if s.capacity.Cores <= 0 {
		return 0
	}
	var sum float64
	for _, h := range s.leases {
		if h.forgetAt.IsZero() {
			sum += h.projectedCores(now)
		}
	}
	return sum / float64(s.capacity.Cores)
}
