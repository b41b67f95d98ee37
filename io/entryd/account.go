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

// countJob enters the end of a job into the account of the day.
func (d *Daemon) countJob(now time.Time, key jobkey.Key, kind string, tasks int, accepted, deadline time.Time, ideal time.Duration, a *answer.Answer) {
	why := cause.Of(a.Cause)
	late := now.Sub(deadline)
	d.account.Tell(func(t *tally.Tally) {
		t.JobEnded(now, key.Team, kind, ended.Outcome(a.Outcome), why, now.Sub(accepted), ideal, late, tasks)
	})
}

// countUnanswered enters a job that no owner answered in time; the entry that its caller reached counts it.
func (d *Daemon) countUnanswered(q *question) {
	if q.job == nil {
		return
	}
	now := time.Now()
	a := answer.Uncertain(q.key.ID, "", "owner-lost")
	d.countJob(now, q.key, q.job.Kind, len(q.job.Tasks), q.job.Issued, q.job.Deadline, 0, &a)
}

// countRefusal enters a refused job.
func (d *Daemon) countRefusal(team, kind, why string) {
	now := time.Now()
	d.account.Tell(func(t *tally.Tally) { t.Refused(now, team, kind, cause.Of(why)) })
}

// note enters something that happened to the system.
func (d *Daemon) note(now time.Time, c cause.Cause, subject string) {
	d.account.Tell(func(t *tally.Tally) { t.Event(now, event.Event{At: now, Cause: c, Subject: subject}) })
}

// noteDrains enters what operators took out of service, and the end of it.
func (d *Daemon) noteDrains(now time.Time, r, before *rules.Rules) {
	begun, ended := r.DrainChanges(before)
	d.account.Tell(func(t *tally.Tally) {
		for _, name := range begun {
			t.Begin(now, event.Event{Cause: cause.Drained, Subject: name})
		}
		for _, name := range ended {
			t.End(now, event.Event{Cause: cause.Drained, Subject: name})
		}
	})
}

// noteCuts enters the data centres that can't be reached any more, and those that can again.
func (d *Daemon) noteCuts(now time.Time) {
	begun, ended := d.reach.Step(now)
	d.account.Tell(func(t *tally.Tally) {
		for _, c := range begun {
			d.log.Warn("data centre not reached", zap.String("data-centre", c.Centre()))
			t.Begin(now, event.Event{At: c.At(), Cause: cause.RegionCut, Subject: c.Centre()})
		}
		for _, c := range ended {
			d.log.Info("data centre reached again", zap.String("data-centre", c.Centre()))
			t.End(now, event.Event{Cause: cause.RegionCut, Subject: c.Centre()})
		}
	})
}

// publisher enters the publications that were turned down into the account of the day.
type publisher struct {
	*conf.Source
	d *Daemon
}

// Publish is the source's.
func (p publisher) Publish(ctx context.Context, id string, base int64, author string, doc fold.Document) (int64, error) {
	version, err := p.Source.Publish(ctx, id, base, author, doc)
	var conflict *vers.ConflictError
	if errors.As(err, &conflict) {
		p.d.note(time.Now(), cause.ConfigConflict, "the one of "+author)
	}
	return version, err
}

// tickAccount notes outages of the log and closes minutes.
func (d *Daemon) tickAccount(now time.Time) {
	d.noteCuts(now)
	overdue := d.owner.Overdue(now)
	d.overdue.Store(int64(overdue))
	down := !d.logUp.Load() && d.mapVersion() != 0
	d.account.Tell(func(t *tally.Tally) {
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
