package agent

import (
	"strconv"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/result"
	"persimmonstage/core/slots"
)

// SetLeases makes each start require a lease of the platform, with r as the free capacity.
func (a *Agent) SetLeases(r room, l leases) {
	a.room, a.leases = r, l
}

// LeaseAnswered handles the platform's answer: the lease is valid until expires, or reason says why it was refused.
func (a *Agent) LeaseAnswered(now time.Time, key string, expires time.Time, reason string) {
	at := a.leased[key]
	if at == nil || at.state != stateLeasing {
		return
	}
	switch {
	case reason != "":
		a.refuse(now, at, reason)
	case !now.Before(expires):
		a.refuse(now, at, string(cause.LeaseLapsed))
	default:
		a.startOrGrant(now, at, onLeased)
	}
	a.Dispatch(now)
}

// LeaseStopped handles the platform's notice that it has stopped or checkpointed the task of a lease: a running task has failed,
// and one that has not started is refused.
func (a *Agent) LeaseStopped(now time.Time, key, why string) {
	at := a.leased[key]
	switch {
	case at == nil:
		return
	case at.state == stateLeasing:
		a.refuse(now, at, why)
	case at.state == stateStarted:
		at.result = &result.Result{
			Attempt: at.key.id, Key: at.order.Key, Index: at.order.Index, Reason: stopReason(why), Ran: now.Sub(at.began),
		}
		a.step(now, at, onEnd)
	}
	a.Dispatch(now)
}

// stopReason returns a reason that starts with the cause, by which the owner distinguishes a stopped task from a failed one.
func stopReason(why string) string {
	c := string(cause.FromReason(why))
	if c == why {
		return c
	}
	return c + ": " + why
}

// holdRoom holds the capacity that an attempt needs.
func (a *Agent) holdRoom(at *attempt) {
	a.held = a.held.Add(at.order.Needs)
	if a.leases == nil {
		return
	}
	l := a.leaseOf(at)
	a.leased[l.Key] = at
	_ = a.room.Take(l) // can't fail, as the queue has just called Fits
}

// releaseRoom frees the capacity of an attempt and ends its lease if one was requested.
func (a *Agent) releaseRoom(now time.Time, at *attempt) {
	a.held = a.held.Sub(at.order.Needs)
	if a.leases == nil {
		return
	}
	key := at.key.String()
	delete(a.leased, key)
	a.room.End(key, now)
	if at.leased {
		a.leases.End(key)
	}
}

// askLease requests the lease of an order that is next in the queue; an order that is too late is refused.
func (a *Agent) askLease(now time.Time, at *attempt) {
	if reason := a.lateReason(now, at); reason != "" {
		a.refuse(now, at, reason)
		return
	}
	a.step(now, at, onLease)
}

// leaseOf returns the lease of an attempt. Its key is the attempt's, not the task's, so that a task that is refused and ordered
// again gets a new lease, which a late end of the first one doesn't end.
func (a *Agent) leaseOf(at *attempt) slots.Lease {
	o := at.order
	l := slots.Lease{Key: at.key.String(), Team: o.Key.Team, Kind: o.Kind, Needs: o.Needs}
	if a.urgency != nil {
		l.Urgency = a.urgency(o.Key.Team, o.Kind)
	}
	return l
}

// String returns the attempt's key in the queue and in the leases.
func (k attemptKey) String() string { return k.owner + "/" + strconv.FormatUint(k.id, 10) }
