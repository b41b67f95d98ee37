package tally

import (
	"time"

	"persimmonstage/core/cause"
)

// JobSubmitted notes that a caller asked for a job of that many tasks, before it is admitted or refused; a higher urgency
// goes first. With it the tally tells floods by itself.
func (t *Tally) JobSubmitted(now time.Time, team, kind string, urgency, tasks int) {
	t.advance(now)
	t.surge.AddJob(team, kind, urgency, tasks)
}

// judge notes the floods that began or ended.
func (t *Tally) judge(now time.Time) {
	begun, over := t.surge.Step(now)
	for _, e := range begun {
		t.Begin(now, e)
	}
	for _, e := range over {
		t.End(now, e)
	}
}

// lacksRoom reports whether c is what the jobs of a flood end with.
func lacksRoom(c cause.Cause) bool {
	return c == cause.Overload || c == cause.DeadlinePassed
}
