package admit

import (
	"time"

	"persimmonstage/core/bound"
)

// Check returns the *RefusedError that Admit would return now, and takes nothing.
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
	return g.checkTime(k, &r, now)
}

// Admit takes a job until End, or returns a *RefusedError; no task of it may be sent before ready.
func (g *Gate) Admit(r Request, now time.Time) (ready time.Time, err error) {
	if err := g.Check(r, now); err != nil {
		return time.Time{}, err
	}
	k := g.share(r.Team, r.Kind, now)
	ready = k.team.ready(now)
	k.team.pay(r.Tasks, now)
	k.unsent += r.work()
	k.held.add(&r, 1)
	g.hold(k, r.Tasks, r.Bytes)
	return ready, nil
}

// Join takes the room of one task for a caller that waits for a job that was admitted before; End gives it back.
func (g *Gate) Join(r Request, now time.Time) error {
	r.Tasks = 1
	k := g.share(r.Team, r.Kind, now)
	if k == nil {
		return g.refuse(nil, &r, RefusedError{Reason: TooManyKinds, Unit: "kinds", Limit: maxKinds}, now)
	}
	if err := g.checkRoom(k, &r, now); err != nil {
		return err
	}
	g.hold(k, 1, r.Bytes)
	return nil
}

func (g *Gate) checkRoom(k *kind, r *Request, now time.Time) error {
	t := k.team
	ask := bound.Request{TeamFraction: t.part(g.weights), KindFraction: k.part(t.weights)}
	ask.Total, ask.Team, ask.Kind, ask.Add = g.tasks, t.tasks, k.tasks, r.Tasks
	if reason := reasonOf(g.taskBound, ask); reason != "" {
		return g.refuse(k, r, RefusedError{Reason: reason, Unit: "tasks", Limit: g.taskBound.Limit()}, now)
	}
	ask.Total, ask.Team, ask.Kind, ask.Add = g.bytes, t.bytes, k.bytes, r.Bytes
	if reason := reasonOf(g.byteBound, ask); reason != "" {
		return g.refuse(k, r, RefusedError{Reason: reason, Unit: "bytes", Limit: g.byteBound.Limit()}, now)
	}
	return nil
}

func reasonOf(b bound.Bound, ask bound.Request) string {
	switch {
	case b.Full(0, ask.Add):
		return TooLarge
	case b.Full(ask.Total, ask.Add):
		return EntryFull
	case !b.Admits(ask):
		return ShareFull
	}
	return ""
}

func (g *Gate) checkTime(k *kind, r *Request, now time.Time) error {
	if r.Deadline.IsZero() {
		return nil
	}
	latest := r.Deadline.Add(-r.Run)
	ready := k.team.ready(now)
	if ready.After(latest) {
		return g.refuse(k, r, RefusedError{Reason: OverQuota, Wait: ready.Sub(now)}, now)
	}
	wait := g.lastStart(k, r)
	if ready.Sub(now) > wait {
		wait = ready.Sub(now)
	}
	if now.Add(wait).After(latest) {
		return g.refuse(k, r, RefusedError{Reason: DeadlineTooNear, Wait: wait}, now)
	}
	return nil
}

func (g *Gate) hold(k *kind, tasks, bytes int64) {
	g.tasks += tasks
	g.bytes += bytes
	k.team.tasks += tasks
	k.team.bytes += bytes
	k.tasks += tasks
	k.bytes += bytes
	g.setActive(k)
}
