package owner

import (
	"slices"

	"persimmonstage/core/answer"
	"persimmonstage/core/ident"
	"persimmonstage/core/jobkey"
)

// Reconnected asks an agent's incarnation again for the answers that an earlier connection to it may have lost.
func (o *Owner) Reconnected(agent string) {
	var ids []uint64
	for _, id := range o.attemptsAt(agent) {
		at := o.attempts[id]
		if a := at.rec.tasks[at.index].find(id); a.resumed {
			o.out.Repeat(agent, at.rec.shard, at.rec.key(), at.index)
		} else {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		o.out.Query(agent, ids)
	}
}

// WithdrawFrom withdraws what was sent to an agent's incarnation and has not started, so that it is placed again.
func (o *Owner) WithdrawFrom(agent string) {
	for _, id := range o.attemptsAt(agent) {
		at := o.attempts[id]
		o.withdraw(at.rec.tasks[at.index].find(id))
	}
}

// attemptsAt lists the open attempts at an agent's incarnation, oldest first.
func (o *Owner) attemptsAt(agent string) []uint64 {
	var ids []uint64
	for id, at := range o.attempts {
		if a := at.rec.tasks[at.index].find(id); a != nil && a.agent == agent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// EachSentJob calls f with each job of a shard of which a start was sent or found, and the agents that may have started it.
func (o *Owner) EachSentJob(shard int, f func(key jobkey.Key, agents []ident.Ident)) {
	for key, r := range o.records {
		if r.shard != shard {
			continue
		}
		if agents := r.sentTo(); len(agents) > 0 {
			f(key, agents)
		}
	}
}

// DropShard drops the records of a shard that another entry owns now, and redirects the waiting callers to it.
func (o *Owner) DropShard(shard int) {
	for _, r := range o.records {
		if r.shard != shard {
			continue
		}
		if r.running() {
			o.running--
		}
		waiters := r.waiters
		r.waiters = nil
		o.forget(r)
		for _, w := range waiters {
			w(answer.OtherOwner())
		}
	}
}
