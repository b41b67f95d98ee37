package entryd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/tally"
	"persimmonstage/core/target"
)

// sick carries out what follows from the judgement of a target; it is called on the loop.
type sick struct{ d *Daemon }

// Ejected takes back what waits at the target, and begins a span of the account of the day.
func (s sick) Ejected(now time.Time, id target.ID, c cause.Cause) {
	name, incarnation := s.d.roster.Name(id), s.d.roster.Incarnation(id)
	reason, _ := s.d.judge.Out(id)
	s.d.log.Warn("target taken out", zap.String("agent", name), zap.String("reason", reason))
	s.d.owner.WithdrawFrom(incarnation)
	e := event.Event{At: now, Cause: c, Subject: name}
	s.d.ejections[id] = e
	s.d.account.Tell(func(t *tally.Tally) { t.Begin(now, e) })
}

// Returned ends the span.
func (s sick) Returned(now time.Time, id target.ID) {
	e := s.d.ejections[id]
	delete(s.d.ejections, id)
	s.d.log.Info("target no longer out", zap.String("agent", e.Subject))
	s.d.account.Tell(func(t *tally.Tally) { t.End(now, e) })
}
