package agent

import (
	"strconv"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/result"
	"persimmonstage/core/slots"
)

// SetLeases makes starts wait for a lease of the platform and for the room that is left under leases.
func (a *Agent) SetLeases(r room, l leases) {
	a.room, a.leases = r, l
}

// LeaseAnswered takes the platform's answer: the lease holds until expires, or reason says why there is none.
func (a *Agent) LeaseAnswered(now time.Time, key string, expires time.Time, reason string) {
	at := a.leased[key]
	if at == nil || at.state != stateLeasing {
		return
	}
	switch {
	case reason != "":
		a.bar(now, at, reason)
	case !now.Before(expires):
		a.bar(now, at, string(cause.LeaseLapsed))
	default:
		a.record(now, at, onLeased)
	}
	a.Dispatch(now)
}

// LeaseStopped takes the platform's word that it has stopped or checkpointed the task of a lease: a task that runs has failed,
// one that has not started is refused.
func (a *Agent) LeaseStopped(now time.Time, key, why string) {
	at := a.leased[key]
	switch {
	case at == nil:
		return
	case at.state == stateLeasing:
		a.bar(now, at, why)
	case at.state == stateStarted:
		at.result = &result.Result{
			Attempt: at.key.id, Key: at.order.Key, Index: at.order.Index, Reason: stopReason(why), Ran: now.Sub(at.began),
		}
		a.step(now, at, onEnd)
	}
	a.Dispatch(now)
}

// stopReason begins with the cause, by which the owner tells a stopped task from one that failed by itself.
func stopReason(why string) string {
	c := string(cause.Of(why))
	if c == why {
		return c
	}
	return c + ": " + why
}

// take holds the room of an attempt.
func (a *Agent) take(at *attempt) {
	a.held = a.held.Add(at.order.Needs)
	if a.leases == nil {
		return
	}
	l := a.leaseOf(at)
	a.leased[l.Key] = at
	_ = a.room.Take(l) // the queue asked Fits at this moment
}

// giveBack frees the room of an attempt and ends its lease if one was asked for.
func (a *Agent) giveBack(now time.Time, at *attempt) {
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

// askLease asks for the lease of an order whose turn has come; one that is too late is refused at once.
func (a *Agent) askLease(now time.Time, at *attempt) {
	if reason := a.late(now, at); reason != "" {
		a.bar(now, at, reason)
		return
	}
	a.step(now, at, onLease)
}

// leaseOf describes the lease of an attempt. The key is the attempt's, not the task's: a task that is refused and ordered
// again gets a lease of its own, which a late end of the first can't take away.
func (a *Agent) leaseOf(at *attempt) slots.Lease {
	o := at.order
	l := slots.Lease{Key: at.key.String(), Team: o.Key.Team, Kind: o.Kind, Needs: o.Needs}
	if a.urgency != nil {
		l.Urgency = a.urgency(o.Key.Team, o.Kind)
	}
	return l
}

// String gives the key by which the queue and the leases know an attempt.
func (k attemptKey) String() string { return k.owner + "/" + strconv.FormatUint(k.id, 10) }
