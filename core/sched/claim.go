package sched

import (
	"time"

	"persimmonstage/core/jobend"
	"persimmonstage/core/times"
)

const (
	// claimLead is how long before another entry may be handed a job, or before the last claim ends, the job is claimed. A claim takes two
	// heartbeats of agents, of 200 ms at most, to the other entries; if this entry is lost before it is made, its agents stop the job's runs
	// within 600 ms.
	claimLead = 600 * time.Millisecond
	// lateClaim is how long after it was due a claim may be sent to the first agent, so that it still comes in time.
	lateClaim = 400 * time.Millisecond
	// claimPeriod is how much longer than claimLead a claim covers a job, which is then claimed again. A claim that covered the whole time
	// until a late deadline would bar other entries long after the job has ended.
	claimPeriod = 200 * time.Millisecond
	// lastRunTime is how long after a job's end its last run may go on if the agent was killed, or the target doesn't confirm the stop: until
	// the lease has ended that was extended 100 ms after the job's end.
	lastRunTime = 770 * time.Millisecond
)

// claim claims a job that may still have runs when another entry is handed it: its caller may have left unseen right after the request
// arrived.
func (s *Sched) claim(now time.Time, j *job) {
	due := j.resubmitAt.Add(-claimLead)
	if j.ended || j.resubmitAt.IsZero() || now.Before(due) || !j.batch.Deadline.After(due) {
		return
	}
	switch {
	case j.claimSent && j.covered.Before(j.batch.Deadline): // to be claimed again
		j.claimMade, j.claimSent, j.resubmitAt = false, false, j.covered
	case j.claimSent:
	case now.Sub(due) > lateClaim: // another entry may start the job before the claim reaches it
		s.endUnclaimed(now, j)
	case now.Before(j.ready): // its caller is told to retry rather than kept waiting for the end of another claim
		s.endUnclaimed(now, j)
	case !j.claimMade:
		j.claimMade = true
		j.covered = times.Earlier(j.batch.Deadline, due.Add(claimLead+claimPeriod))
		s.out.JobClaimed(j.batch.ID, j.covered.Add(lastRunTime))
	}
}

// endUnclaimed ends a job that another entry may have been handed.
func (s *Sched) endUnclaimed(now time.Time, j *job) {
	if j.started {
		s.endJob(now, j, jobend.Outcome{Kind: jobend.Unfinished, Reason: Unclaimed})
		return
	}
	s.refuse(now, j, Unclaimed)
}

// ClaimSent records that an agent was sent the claim of a job, which it passes on.
func (s *Sched) ClaimSent(id string) {
	if j := s.jobs[id]; j != nil && j.claimMade {
		j.claimSent = true
	}
}

// Claimed handles the claim of another entry on a job, of which nothing is started, nor started again, before the claim ends.
func (s *Sched) Claimed(now time.Time, id string, until time.Time) {
	if j := s.jobs[id]; j != nil && now.Before(until) {
		j.waitUntil(until)
	}
}

// waitUntil defers the next start of a job of which another entry may have runs.
func (j *job) waitUntil(until time.Time) {
	if until.After(j.ready) {
		j.startDeadline = j.startDeadline.Add(until.Sub(j.ready))
		j.ready = until
	}
}

// setResubmission sets when another entry may be handed the job, whose request may have waited for its reading.
func (j *job) setResubmission(waited time.Duration) {
	j.resubmitAt = j.batch.ResubmitAt
	if !j.resubmitAt.IsZero() && !j.batch.ArrivalKnown {
		j.resubmitAt = j.resubmitAt.Add(-waited)
	}
}

// isClaimedTooLong reports whether a job that waits for the end of a claim can't end before its deadline.
func (j *job) isClaimedTooLong() bool {
	claimed := j.batch.ClaimedUntil
	return claimed.After(j.arrived) && claimed.Add(time.Duration(minRunFraction*float64(j.expected))).After(j.batch.Deadline)
}
