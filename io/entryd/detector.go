package entryd

import (
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/tally"
	"persimmonstage/core/target"
)

// detectorEffects carries out the decisions of the failure detector; it is called on the loop.
type detectorEffects struct{ d *Daemon }

// Ejected withdraws the attempts waiting at the target and begins an event in the account of the day.
func (s detectorEffects) Ejected(now time.Time, id target.ID, c cause.Cause) {
	name, incarnation := s.d.roster.Name(id), s.d.roster.Incarnation(id)
	reason, _ := s.d.detector.Out(id)
	s.d.log.Warn("target taken out", zap.String("agent", name), zap.String("reason", reason))
	s.d.owner.WithdrawFrom(incarnation)
	e := event.Event{At: now, Cause: c, Subject: name}
	s.d.ejections[id] = e
	s.d.account.Update(func(t *tally.Tally) { t.Begin(now, e) })
}

// Returned ends the event that Ejected began.
func (s detectorEffects) Returned(now time.Time, id target.ID) {
	e := s.d.ejections[id]
	delete(s.d.ejections, id)
	s.d.log.Info("target returned to service", zap.String("agent", e.Subject))
	s.d.account.Update(func(t *tally.Tally) { t.End(now, e) })
}
