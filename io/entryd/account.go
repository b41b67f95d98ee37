package entryd

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/core/answer"
	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/fold"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/rules"
	"persimmonstage/core/tally"
	"persimmonstage/core/vers"
	"persimmonstage/io/conf"
)

// countJob records the end of a job in the account of the day.
func (d *Daemon) countJob(now time.Time, key jobkey.Key, kind string, tasks int, accepted, deadline time.Time, ideal time.Duration, a *answer.Answer) {
	why := cause.FromReason(a.Cause)
	late := now.Sub(deadline)
	d.account.Update(func(t *tally.Tally) {
		t.JobEnded(now, key.Team, kind, ended.Outcome(a.Outcome), why, now.Sub(accepted), ideal, late, tasks)
	})
}

// countUnanswered records a job that no owner answered in time; the entry that received the caller's request counts it.
func (d *Daemon) countUnanswered(q *callerRequest) {
	if q.job == nil {
		return
	}
	now := time.Now()
	a := answer.Uncertain(q.key.ID, "", "owner-lost")
	d.countJob(now, q.key, q.job.Kind, len(q.job.Tasks), q.job.Issued, q.job.Deadline, 0, &a)
}

// countRefusal records a refused job in the account of the day.
func (d *Daemon) countRefusal(team, kind, why string) {
	now := time.Now()
	d.account.Update(func(t *tally.Tally) { t.Refused(now, team, kind, cause.FromReason(why)) })
}

// recordEvent records a system event in the account of the day.
func (d *Daemon) recordEvent(now time.Time, c cause.Cause, subject string) {
	d.account.Update(func(t *tally.Tally) { t.Event(now, event.Event{At: now, Cause: c, Subject: subject}) })
}

// recordDrains records which targets and hosts operators began to drain or put back into service.
func (d *Daemon) recordDrains(now time.Time, r, before *rules.Rules) {
	begun, ended := r.DrainChanges(before)
	d.account.Update(func(t *tally.Tally) {
		for _, name := range begun {
			t.Begin(now, event.Event{Cause: cause.Drained, Subject: name})
		}
		for _, name := range ended {
			t.End(now, event.Event{Cause: cause.Drained, Subject: name})
		}
	})
}

// recordUnreachable records data centres that have become unreachable or reachable again.
func (d *Daemon) recordUnreachable(now time.Time) {
	begun, ended := d.reach.Step(now)
	d.account.Update(func(t *tally.Tally) {
		for _, c := range begun {
			d.log.Warn("data centre unreachable", zap.String("data-centre", c.Centre()))
			t.Begin(now, event.Event{At: c.At(), Cause: cause.RegionCut, Subject: c.Centre()})
		}
		for _, c := range ended {
			d.log.Info("data centre reachable again", zap.String("data-centre", c.Centre()))
			t.End(now, event.Event{Cause: cause.RegionCut, Subject: c.Centre()})
		}
	})
}

// publisher publishes configurations and records conflicting ones in the account of the day.
type publisher struct {
	*conf.Source
	d *Daemon
}

// Publish calls the source's Publish and records a conflict.
func (p publisher) Publish(ctx context.Context, id string, base int64, author string, doc fold.Document) (int64, error) {
	version, err := p.Source.Publish(ctx, id, base, author, doc)
	var conflict *vers.ConflictError
	if errors.As(err, &conflict) {
		p.d.recordEvent(time.Now(), cause.ConfigConflict, "the one of "+author)
	}
	return version, err
}

// tickAccount records overdue jobs and outages of the log and of data centres, and closes the minutes that are over.
func (d *Daemon) tickAccount(now time.Time) {
	d.recordUnreachable(now)
	overdue := d.owner.Overdue(now)
	d.overdue.Store(int64(overdue))
	down := !d.logUp.Load() && d.mapVersion() != 0
	d.account.Update(func(t *tally.Tally) {
		t.Overdue(now, overdue)
		e := event.Event{At: now, Cause: cause.LogDown}
		if down {
			t.Begin(now, e)
		} else {
			t.End(now, e)
		}
		t.Advance(now)
	})
}
