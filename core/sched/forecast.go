package sched

import (
	"slices"
	"time"

	"persimmonstage/core/fate"
)

const (
	// targetsFault is how many times its expected time an attempt has to take for its target to be blamed: run times are known
	// to some 30 %, so so much more is hardly the task's own.
	targetsFault = 2.2
	// stopTime is about how long it takes until a stopped attempt is known to be over.
	stopTime = 40 * time.Millisecond
	// hopelessMargin is by how much an attempt has to miss the deadline for its job to be given up.
	hopelessMargin = 1.03
	// riskyMargin is how close to the deadline an attempt may come for its task not to be moved to a faster target.
	riskyMargin = 1.08
	// fasterPace is the ratio of paces at which a task too long for its target is attempted at a faster one.
	fasterPace = 0.75
)

// Forecast takes an agent's word that an attempt takes unusually long. If the target seems to be slow, the task is moved to one
// that ends it earlier; if the task itself is too long for its target but not for a faster one, it is moved as well; if it is
// too long for the deadline anywhere, the job is given up now, which frees its room for jobs that can end in time.
func (s *Sched) Forecast(now time.Time, name string, id uint64, left time.Duration) {
	t := s.find(name)
	if t == nil || t.attempts[id] == nil {
		return
	}
	a := t.attempts[id]
	j := a.job
	if j.ended || a.stopping {
		return
	}
	whole := now.Add(left).Sub(a.sent)
	usual := time.Duration(float64(a.expected) * min(t.state.Pace, s.medianPace()))
	if float64(whole) > targetsFault*float64(usual) {
		if now.Add(left).After(j.objective) {
			s.move(now, a, left, a.expected, t.state.Pace)
		}
		return
	}
	work := time.Duration(float64(whole) / t.state.Pace)
	j.expected = max(j.expected, work)
	if !now.Add(time.Duration(riskyMargin * float64(left))).After(j.batch.Deadline) {
		return
	}
	if s.move(now, a, left, work, fasterPace*t.state.Pace) {
		return
	}
	if now.Add(time.Duration(hopelessMargin * float64(left))).After(j.batch.Deadline) {
		s.end(now, j, fate.Fate{Kind: fate.Unfinished, Reason: TooLong})
		s.place(now)
	}
}

// move stops an attempt if a target with room and at most the given pace would end its task earlier and in time, so that it is
// placed anew once the attempt is over; it reports whether it did.
func (s *Sched) move(now time.Time, a *attempt, left, work time.Duration, most float64) bool {
	j := a.job
	t := &j.tasks[a.index]
	s.kept = 0
	best := time.Duration(0)
	for _, to := range s.targets {
		if to == a.target || to.state.Pace > most || !to.state.Usable || !to.connected || !s.fits(j, to) || !s.room(now, j, t, to) {
			continue
		}
		if run := time.Duration(float64(work) * to.state.Pace); best == 0 || run < best {
			best = run
		}
	}
	again := stopTime + time.Duration(fairMargin*float64(best))
	if best == 0 || again > left || now.Add(again).After(j.batch.Deadline) {
		return false
	}
	s.out.Moved(j.batch.ID, a.target.name, left.Milliseconds())
	s.stop(a)
	return true
}

// medianPace returns the median pace of the usable targets, 1 if there are none.
func (s *Sched) medianPace() float64 {
	s.paces = s.paces[:0]
	for _, t := range s.targets {
		if t.connected && t.state.Usable {
			s.paces = append(s.paces, t.state.Pace)
		}
	}
	if len(s.paces) == 0 {
		return 1
	}
	slices.Sort(s.paces)
	return s.paces[len(s.paces)/2]
}
