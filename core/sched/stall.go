package sched

import "time"

const (
	// stallThreshold is the time since the last tick after which the process is considered to have stalled.
	stallThreshold = 250 * time.Millisecond
	// backlogTime is how long after a stall requests are still read that arrived during it, and stallDelay how long each of these
	// jobs is held back: its caller may have disconnected during the stall, which is read after the request.
	backlogTime = 250 * time.Millisecond
	stallDelay  = 25 * time.Millisecond
)

// noticeStall records the end of a stall of the process, if there was one since the last tick.
func (s *Sched) noticeStall(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > stallThreshold {
		s.stallBegin, s.stallEnd = s.lastTick, now
	}
}

// maxWait returns how long a request that is read now may have waited since it arrived.
func (s *Sched) maxWait(now time.Time) time.Duration {
	s.noticeStall(now)
	if now.Sub(s.stallEnd) < backlogTime {
		return now.Sub(s.stallBegin)
	}
	return 0
}

// holdBack defers the first start of a new job if its request may have arrived during a stall, or was held up on its way.
func (s *Sched) holdBack(now time.Time, j *job) {
	j.setResubmission(s.maxWait(now))
	if j.batch.HeldUp || now.Sub(s.stallEnd) < backlogTime {
		j.ready = now.Add(stallDelay)
		j.startDeadline = j.startDeadline.Add(stallDelay)
	}
}

// isRecovering reports whether a stall has just ended, so that callers that left during it may not have been noticed yet.
func (s *Sched) isRecovering(now time.Time) bool {
	s.noticeStall(now)
	return now.Sub(s.stallEnd) < stallDelay
}

// dropLeft removes the callers of a job that have left without the process having read it, and ends the job if none remains. It isn't
// known how long what is read now has waited: a process that works off a backlog slowly reads requests long after its stall.
func (s *Sched) dropLeft(now time.Time, j *job) {
	s.dropWaiters(now, j, func(w waiter) bool { return w.left != nil && w.left() })
}
