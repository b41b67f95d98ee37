package admit

import (
	"time"

	"persimmonstage/core/bound"
)

// Check returns the *RefusedError that Admit would return now, without admitting the job.
func (g *Gate) Check(r Request, now time.Time) error {
	g.init()
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return g.refuse(nil, &r, RefusedError{Reason: Expired}, now)
	}
	k := g.share(r.Team, r.Kind, now)
	if k == nil {
		return g.refuse(nil, &r, RefusedError{Reason: TooManyKinds, Unit: "kinds", Limit: maxKinds}, now)
	}
	if err := g.checkRoom(k, &r, now); err != nil {
		return err
	}
	return g.checkDeadline(k, &r, now)
}

// Admit admits a job, which holds its capacity until End, or returns a *RefusedError; none of its tasks may be sent
// before ready.
func (g *Gate) Admit(r Request, now time.Time) (ready time.Time, err error) {
	if err := g.Check(r, now); err != nil {
		return time.Time{}, err
	}
	k := g.share(r.Team, r.Kind, now)
	ready = k.team.readyAt(now)
	k.team.bookStarts(r.Tasks, now)
	k.unsent += r.work()
	k.admitted.add(&r, 1)
	g.addHeld(k, r.Tasks, r.Bytes)
	return ready, nil
}

// Join takes the capacity of one task for a caller that waits for an already admitted job; Leave returns it.
func (g *Gate) Join(r Request, now time.Time) error {
	r.Tasks = 1
	k := g.share(r.Team, r.Kind, now)
	if k == nil {
		return g.refuse(nil, &r, RefusedError{Reason: TooManyKinds, Unit: "kinds", Limit: maxKinds}, now)
	}
	if err := g.checkRoom(k, &r, now); err != nil {
		return err
	}
	g.addHeld(k, 1, r.Bytes)
	return nil
}

func (g *Gate) checkRoom(k *kind, r *Request, now time.Time) error {
	t := k.team
	growth := bound.Request{TeamFraction: t.fraction(g.weights), KindFraction: k.fraction(t.weights)}
	growth.Total, growth.Team, growth.Kind, growth.Add = g.tasks, t.tasks, k.tasks, r.Tasks
	if reason := refusalReason(g.taskBound, growth); reason != "" {
		return g.refuse(k, r, RefusedError{Reason: reason, Unit: "tasks", Limit: g.taskBound.Limit()}, now)
	}
	growth.Total, growth.Team, growth.Kind, growth.Add = g.bytes, t.bytes, k.bytes, r.Bytes
	if reason := refusalReason(g.byteBound, growth); reason != "" {
		return g.refuse(k, r, RefusedError{Reason: reason, Unit: "bytes", Limit: g.byteBound.Limit()}, now)
	}
	return nil
}

func refusalReason(b bound.Bound, growth bound.Request) string {
	switch {
	case b.Full(0, growth.Add):
		return TooLarge
	case b.Full(growth.Total, growth.Add):
		return EntryFull
	case !b.Admits(growth):
		return ShareFull
	}
	return ""
}

func (g *Gate) checkDeadline(k *kind, r *Request, now time.Time) error {
	if r.Deadline.IsZero() {
		return nil
	}
	latest := r.Deadline.Add(-r.Run)
	ready := k.team.readyAt(now)
	if ready.After(latest) {
		return g.refuse(k, r, RefusedError{Reason: OverQuota, Wait: ready.Sub(now)}, now)
	}
	wait := g.lastTaskWait(k, r)
	if ready.Sub(now) > wait {
		wait = ready.Sub(now)
	}
	if now.Add(wait).After(latest) {
		return g.refuse(k, r, RefusedError{Reason: DeadlineTooNear, Wait: wait}, now)
	}
	return nil
}

func (g *Gate) addHeld(k *kind, tasks, bytes int64) {
	g.tasks += tasks
	g.bytes += bytes
	k.team.tasks += tasks
	k.team.bytes += bytes
	k.tasks += tasks
	k.bytes += bytes
	g.updateActive(k)
}
