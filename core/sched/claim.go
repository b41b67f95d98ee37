package sched

import (
	"time"

	"persimmonstage/core/jobend"
)

const (
	// claimLead is how long before another entry may be handed a job the job is claimed: the claim takes two heartbeats of agents, the
	// first to an agent and the second to the other entries.
	claimLead = 400 * time.Millisecond
	// lateClaim is how long after it was due a claim may be sent to the first agent, so that it still comes in time.
	lateClaim = 200 * time.Millisecond
	// lastRunTime is how long after a job's deadline its last run may go on if the agent was killed, or the target doesn't confirm the stop:
	// until the lease has ended that was extended 100 ms after the deadline.
	lastRunTime = 770 * time.Millisecond
)

// lastRun returns when the last run of the job has ended.
func (j *job) lastRun() time.Time { return j.batch.Deadline.Add(lastRunTime) }

// claim claims a job that may still have runs when another entry is handed it: its caller may have left unseen right after the request
// was read.
func (s *Sched) claim(now time.Time, j *job) {
	if j.ended || j.claimSent || j.resubmitAt.IsZero() || !j.lastRun().After(j.resubmitAt) {
		return
	}
	late := now.Sub(j.resubmitAt.Add(-claimLead))
	switch {
	case late > lateClaim: // another entry may start the job before it hears of the claim
		s.endUnclaimed(now, j)
	case late >= 0 && !j.claimed:
		j.claimed = true
		s.out.JobClaimed(j.batch.ID, j.lastRun())
	}
}

// ClaimSent records that an agent was sent the claim of a job, which it passes on.
func (s *Sched) ClaimSent(id string) {
	if j := s.jobs[id]; j != nil {
		j.claimSent = true
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

// Claimed handles the claim of another entry on a job, which starts nothing before the claim ends.
func (s *Sched) Claimed(now time.Time, id string, until time.Time) {
	if j := s.jobs[id]; j != nil && !j.started && now.Before(until) {
		j.waitUntil(until)
	}
}

// awaitClaim defers the first start of a job of which another entry may have runs.
func (j *job) awaitClaim(now time.Time) {
	if now.Before(j.batch.ClaimedUntil) {
		j.waitUntil(j.batch.ClaimedUntil)
	}
}

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
