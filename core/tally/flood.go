package tally

import (
	"time"

	"persimmonstage/core/cause"
)

// JobSubmitted counts a submitted job for flood detection, before it is admitted or refused; a higher urgency runs first.
func (t *Tally) JobSubmitted(now time.Time, team, kind string, urgency, tasks int) {
	t.advance(now)
	t.surge.AddJob(team, kind, urgency, tasks)
}

// detectFloods records the floods that began or ended.
func (t *Tally) detectFloods(now time.Time) {
	begun, over := t.surge.Step(now)
	for _, e := range begun {
		t.Begin(now, e)
	}
	for _, e := range over {
		t.End(now, e)
	}
}

// isOverload reports whether c is a cause with which jobs end during a flood.
func isOverload(c cause.Cause) bool {
	return c == cause.Overload || c == cause.DeadlinePassed
}
