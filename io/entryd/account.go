package entryd

import (
	"time"

	"persimmonstage/core/answer"
	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/tally"
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

// tickAccount notes outages of the log and closes minutes.
func (d *Daemon) tickAccount(now time.Time) {
	overdue := d.owner.Overdue(now)
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
