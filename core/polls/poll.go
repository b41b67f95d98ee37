package polls

import (
	"time"

	"persimmonstage/core/rtt"
)

const (
	// calmWait is how long the target waits for an end while no answers are lost.
	calmWait = 120 * time.Millisecond
	// margin is how long beyond its wait an answer is awaited.
	margin = 30 * time.Millisecond
	// lossyWait replaces calmWait after a loss, because a lost answer is noticed only after the wait.
	lossyWait = 25 * time.Millisecond
	// overlapWait and overlapPeriod apply while many answers are lost: polls overlap, so that a lost one delays no end by more than
	// overlapPeriod.
	overlapWait   = 30 * time.Millisecond
	overlapPeriod = 15 * time.Millisecond
	// failurePause is the time after a poll that fails at once, and the least time between two overlapping polls: it bounds the polls
	// of a target that refuses connections, or at which many runs end.
	failurePause = 5 * time.Millisecond
	// silentPause is the time between two polls of a target that doesn't answer at all.
	silentPause = 50 * time.Millisecond
)

// Poll is one poll of the target; it is plain data.
type Poll struct {
	Wait     time.Duration // how long the target may wait for an end
	AnswerBy time.Time     // when the answer counts as lost
	Earliest time.Time     // the next poll is sent once this one is answered, but not before Earliest
	Latest   time.Time     // the next poll is sent at Latest even if this one isn't answered
	Pause    time.Duration // between a poll that fails before Latest, for example by a broken connection, and the next one
}

// Next returns the poll that is sent now; silent tells that the target has answered no call for long.
func Next(now time.Time, calls *rtt.Estimator, silent bool) Poll {
	switch {
	case silent:
		return sequential(now, lossyWait, silentPause)
	case !calls.AtRisk(now):
		return sequential(now, calmWait, failurePause)
	case !calls.Lossy(now):
		return sequential(now, lossyWait, failurePause)
	}
	return Poll{
		Wait: overlapWait, AnswerBy: now.Add(overlapWait + calls.Timeout(now)),
		Earliest: now.Add(failurePause), Latest: now.Add(overlapPeriod), Pause: failurePause,
	}
}

// sequential returns a poll that is answered or has failed before the next one is sent, which follows a failure after pause.
func sequential(now time.Time, wait, pause time.Duration) Poll {
	by := now.Add(wait + margin)
	return Poll{Wait: wait, AnswerBy: by, Earliest: now, Latest: by.Add(pause), Pause: pause}
}
