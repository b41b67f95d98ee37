package agent

import (
	"time"

	"persimmonstage/core/ledger"
	"persimmonstage/core/load"
	"persimmonstage/core/queue"
	"persimmonstage/core/rank"
	"persimmonstage/core/result"
)

// step applies an event to an attempt and carries out the chart's actions.
func (a *Agent) step(now time.Time, at *attempt, event int) {
	next, actions := attemptChart.Step(at.state, event)
	at.state = next
	for _, act := range actions {
		a.act(now, at, act)
	}
}

func (a *Agent) act(now time.Time, at *attempt, action string) {
	switch action {
	case enqueue:
		a.enqueue(now, at)
	case dequeue:
		a.dequeue(at)
	case hold:
		a.holdRoom(at)
	case free:
		a.free(now, at)
	case lease:
		at.leased = true
		a.leases.Take(a.leaseOf(at), at.order.Deadline)
	case grant:
		a.grants.Add(now.Add(grantLifetime), at)
		a.out.Grant(at.key.owner, at.key.id)
	case start:
		a.start(now, at)
	case refuse:
		at.order.Payload = nil
		a.out.Refuse(at.key.owner, at.key.id, at.reason)
	case report:
		a.report(now, at)
	case repeat:
		at.order.Payload = nil
		a.repeat(at)
	}
}

func (a *Agent) enqueue(now time.Time, at *attempt) {
	at.item = queue.Item[*attempt]{
		Key: at.key.String(), Team: at.order.Key.Team, Kind: at.order.Kind,
		OrderTime: now.Add(at.order.Delay), Deadline: at.order.Deadline, Run: at.order.Expected,
		Size:  max(a.room.Size(at.order.Key.Team, at.order.Kind, at.order.Needs), 1),
		Bytes: int64(len(at.order.Payload)), Value: at,
	}
	if a.urgency != nil {
		at.item.Urgency = a.urgency(at.order.Key.Team, at.order.Kind)
	}
	a.countLoad(at, 1)
	if err := a.queue.Push(at.item); err != nil {
		a.refuse(now, at, err.Error())
	}
}

// dequeue removes an attempt from the queue, or refunds its charge if it was popped already.
func (a *Agent) dequeue(at *attempt) {
	a.countLoad(at, -1)
	if at.popped.IsZero() {
		a.queue.Remove(at.item.Key)
		return
	}
	a.queue.Done(at.item, 0)
}

func (a *Agent) free(now time.Time, at *attempt) {
	a.releaseRoom(now, at)
	a.countLoad(at, -1)
	ran := time.Duration(0)
	if at.result != nil {
		ran = at.result.Ran
	}
	a.queue.Done(at.item, ran)
}

// countLoad adds an attempt to its owner's load, or subtracts it if sign is negative.
func (a *Agent) countLoad(at *attempt, sign int) {
	s := a.byOwner[at.key.owner]
	if s == nil {
		s = &share{}
		a.byOwner[at.key.owner] = s
	}
	one := load.Load{Held: at.order.Needs, Tasks: 1, Work: at.order.Expected}
	of := &s.loads[rank.Of(at.order.Delay)]
	if sign > 0 {
		*of = of.Add(one)
	} else {
		*of = of.Sub(one)
	}
	s.tasks += sign
	if s.tasks == 0 {
		delete(a.byOwner, at.key.owner)
	}
}

func (a *Agent) start(now time.Time, at *attempt) {
	at.began = now
	a.running[orderName(at.order)] = at
	a.out.Run(at.order)
}

func (a *Agent) report(now time.Time, at *attempt) {
	delete(a.running, orderName(at.order))
	at.order.Payload = nil
	a.starts.Finish(at.ledgerKey(), at.order.Shard, ledgerResult(at.result), !at.result.OK)
	a.out.End(at.key.owner, at.order.Shard, at.result)
	if !now.Before(at.order.Deadline.Add(recordMargin)) {
		delete(a.attempts, at.key)
	}
}

// ledgerResult returns what the ledger keeps of a result: the output, or the reason of the failure.
func ledgerResult(r *result.Result) []byte {
	if r.OK {
		return r.Output
	}
	return []byte(r.Reason)
}

// repeat sends the result of an attempt's task again.
func (a *Agent) repeat(at *attempt) {
	a.sendResult(at.key.owner, at.order.Shard, &result.Result{Attempt: at.key.id, Key: at.order.Key, Index: at.order.Index})
}

// sendResult fills r from the ledger and sends it; the result of a task that is still running is sent when it ends.
func (a *Agent) sendResult(owner string, shard int, r *result.Result) {
	t, ok := a.starts.Task(ledgerKey(r.Key, r.Index), shard)
	switch {
	case !ok || t.State == ledger.Started:
		return
	case t.State == ledger.Dropped:
		r.Reason = OutputDropped
	case t.Failed:
		r.Reason = string(t.Result)
	default:
		r.OK, r.Output = true, t.Result
	}
	a.out.End(owner, shard, r)
}
