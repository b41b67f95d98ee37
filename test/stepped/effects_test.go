package stepped

import (
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/answer"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/order"
	"persimmonstage/core/result"
	"persimmonstage/core/target"
)

// The streams of a link: orders and queries, reservations and withdrawals to the agent; results and refusals, grants to the owner.
const (
	orders = iota
	control
	results
	grants
)

// toAgent queues a message on a stream of the link to an agent.
func (e *entry) toAgent(agent string, stream int, deliver func(h *host)) bool {
	l := e.links[agent]
	if l == nil || !l.up {
		return false
	}
	l.streams[stream] = append(l.streams[stream], func() {
		if h := e.w.agentByIncarnation(agent); h != nil {
			deliver(h)
		}
	})
	return true
}

func (e *entry) Start(agent string, o *order.Order) {
	sent := *o
	if e.toAgent(agent, orders, func(h *host) { got := sent; h.core.Order(e.w.now, e.incarnation, &got) }) {
		return
	}
	id := o.Attempt
	e.later(func() { e.core.Refused(e.w.now, id, "not-connected") })
}

func (e *entry) Reserve(agent string, o *order.Order) {
	sent := *o
	if !e.toAgent(agent, control, func(h *host) { got := sent; h.core.Reserve(e.w.now, e.incarnation, &got) }) {
		id := o.Attempt
		e.later(func() { e.core.Refused(e.w.now, id, "not-connected") })
	}
}

// later queues f as a message of the process to itself.
func (e *entry) later(f func()) {
	own := e.links["self"]
	if own == nil {
		own = &link{up: true}
		e.links["self"] = own
	}
	own.streams[orders] = append(own.streams[orders], f)
}

func (e *entry) Withdraw(agent string, attempts []uint64) {
	e.toAgent(agent, control, func(h *host) { h.core.Withdraw(e.w.now, e.incarnation, attempts) })
}

func (e *entry) Query(agent string, attempts []uint64) {
	e.toAgent(agent, orders, func(h *host) {
		if e.w.flaw == refuseStarted {
			for _, id := range attempts {
				h.Refuse(e.incarnation, id, "withdrawn")
			}
			return
		}
		h.core.Query(e.w.now, e.incarnation, attempts)
	})
}

func (e *entry) Repeat(agent string, shard int, key jobkey.Key, index int) {
	e.toAgent(agent, orders, func(h *host) { h.core.Repeat(e.incarnation, shard, key, index) })
}

func (e *entry) StartSent(id target.ID, _ time.Duration) { e.openStarts[id]++ }

func (e *entry) StartDropped(id target.ID) { e.ended(id) }

func (e *entry) StartEnded(_ time.Time, id target.ID, _ string, _, _ time.Duration, _ bool) {
	e.ended(id)
}

// ended requires that each start that was sent ends only once.
func (e *entry) ended(id target.ID) {
	e.openStarts[id]--
	require.GreaterOrEqual(e.w.t, e.openStarts[id], 0)
}

func (*entry) JobEnded(time.Time, jobkey.Key, string, int, time.Time, time.Time, time.Duration, *answer.Answer) {
}

// Run counts a start at the target; the tests check this count.
func (h *host) Run(o *order.Order) {
	h.w.starts[output(o.Key, o.Index)]++
	h.running = append(h.running, o)
}

func (h *host) toOwner(inc string, stream int, deliver func(e *entry)) {
	for _, e := range h.w.owners {
		if e.incarnation != inc {
			continue
		}
		if l := e.links[h.incarnation]; l != nil && l.up {
			l.streams[stream] = append(l.streams[stream], func() { deliver(e) })
		}
	}
}

func (h *host) Grant(owner string, attempt uint64) {
	agent := h.incarnation
	h.toOwner(owner, grants, func(e *entry) { e.core.Granted(e.w.now, agent, attempt) })
}

func (h *host) Refuse(owner string, attempt uint64, reason string) {
	h.toOwner(owner, results, func(e *entry) { e.core.Refused(e.w.now, attempt, reason) })
}

func (h *host) End(owner string, _ int, r *result.Result) {
	sent := *r
	h.toOwner(owner, results, func(e *entry) { got := sent; e.core.Result(e.w.now, &got) })
	if present := h.w.currentOwner().incarnation; present != owner {
		h.toOwner(present, results, func(e *entry) { got := sent; e.core.Result(e.w.now, &got) })
	}
}
