package sched

import (
	"time"

	"persimmonstage/core/fate"
)

const (
	// targetsFault is how many times its expected time an attempt has to take for its target to be blamed: run times are known
	// to some 30 %, so so much more is hardly the task's own.
	targetsFault = 2.0
	// stopTime is about how long it takes until a stopped attempt is known to be over.
	stopTime = 40 * time.Millisecond
	// hopelessMargin is by how much an attempt has to miss the deadline for its job to be given up.
	hopelessMargin = 1.05
)

// Forecast takes an agent's word that an attempt takes unusually long. If the target seems to be slow, the task is moved to one
// that ends it earlier; if the task itself is too long for the deadline, the job is given up now, which frees its room for jobs
// that can end in time.
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
	if float64(whole) > targetsFault*float64(a.expected)*min(1, t.state.Pace) {
		s.move(now, a, left)
		return
	}
	if now.Add(time.Duration(hopelessMargin * float64(left))).After(j.batch.Deadline) {
		s.end(now, j, fate.Fate{Kind: fate.Unfinished, Reason: TooLong})
		s.place(now)
	}
}

// move stops an attempt if another target would end its task well before, so that it is placed anew once it is over.
func (s *Sched) move(now time.Time, a *attempt, left time.Duration) {
	if now.Add(left).Before(a.job.objective) {
		return
	}
	best := time.Duration(0)
	for _, to := range s.targets {
		if to == a.target || !to.state.Usable || !to.connected || !s.fits(a.job, to) || to.failures >= probeFailures {
			continue
		}
		if run := time.Duration(float64(a.expected) * to.state.Pace); best == 0 || run < best {
			best = run
		}
	}
	again := stopTime + time.Duration(margin*float64(best))
	if best == 0 || again > left || now.Add(again).After(a.job.batch.Deadline) {
		return
	}
	s.out.Moved(a.job.batch.ID, a.target.name, left.Milliseconds())
	s.stop(a)
}
