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

// The streams of a line: orders and questions, reservations and withdrawals; results and refusals, grants.
const (
	orders = iota
	control
	results
	grants
)

// toAgent puts a message on a stream of the line to an agent.
func (e *entry) toAgent(agent string, stream int, deliver func(h *host)) bool {
	l := e.lines[agent]
	if l == nil || !l.up {
		return false
	}
	l.streams[stream] = append(l.streams[stream], func() {
		if h := e.w.byInc(agent); h != nil {
			deliver(h)
		}
	})
	return true
}

func (e *entry) Start(agent string, o *order.Order) {
	sent := *o
	if e.toAgent(agent, orders, func(h *host) { got := sent; h.core.Order(e.w.now, e.inc, &got) }) {
		return
	}
	id := o.Attempt
	e.later(func() { e.core.Refused(e.w.now, id, "not-connected") })
}

func (e *entry) Reserve(agent string, o *order.Order) {
	sent := *o
	if !e.toAgent(agent, control, func(h *host) { got := sent; h.core.Reserve(e.w.now, e.inc, &got) }) {
		id := o.Attempt
		e.later(func() { e.core.Refused(e.w.now, id, "not-connected") })
	}
}

// later runs f as a message of the process to itself.
func (e *entry) later(f func()) {
	own := e.lines["self"]
	if own == nil {
		own = &line{up: true}
		e.lines["self"] = own
	}
	own.streams[orders] = append(own.streams[orders], f)
}

func (e *entry) Withdraw(agent string, attempts []uint64) {
	e.toAgent(agent, control, func(h *host) { h.core.Withdraw(e.w.now, e.inc, attempts) })
}

func (e *entry) Query(agent string, attempts []uint64) {
	e.toAgent(agent, orders, func(h *host) {
		if e.w.flaw == forgetful {
			for _, id := range attempts {
				h.Refuse(e.inc, id, "withdrawn")
			}
			return
		}
		h.core.Query(e.w.now, e.inc, attempts)
	})
}

func (e *entry) Repeat(agent string, shard int, key jobkey.Key, index int) {
	e.toAgent(agent, orders, func(h *host) { h.core.Repeat(e.inc, shard, key, index) })
}

func (e *entry) StartSent(id target.ID, _ time.Duration) { e.open[id]++ }

func (e *entry) StartDropped(id target.ID) { e.ended(id) }

func (e *entry) StartEnded(_ time.Time, id target.ID, _ string, _, _ time.Duration, _ bool) {
	e.ended(id)
}

// ended counts the one end of each start that was sent.
func (e *entry) ended(id target.ID) {
	e.open[id]--
	require.GreaterOrEqual(e.w.t, e.open[id], 0)
}

func (*entry) JobEnded(time.Time, jobkey.Key, string, int, time.Time, time.Time, time.Duration, *answer.Answer) {
}

// Run is the target's count of starts, the judge of the whole test.
func (h *host) Run(o *order.Order) {
	h.w.starts[output(o.Key, o.Index)]++
	h.running = append(h.running, o)
}

func (h *host) toOwner(inc string, stream int, deliver func(e *entry)) {
	for _, e := range h.w.owners {
		if e.inc != inc {
			continue
		}
		if l := e.lines[h.inc]; l != nil && l.up {
			l.streams[stream] = append(l.streams[stream], func() { deliver(e) })
		}
	}
}

func (h *host) Grant(owner string, attempt uint64) {
	agent := h.inc
	h.toOwner(owner, grants, func(e *entry) { e.core.Granted(e.w.now, agent, attempt) })
}

func (h *host) Refuse(owner string, attempt uint64, reason string) {
	h.toOwner(owner, results, func(e *entry) { e.core.Refused(e.w.now, attempt, reason) })
}

func (h *host) End(owner string, _ int, r *result.Result) {
	sent := *r
	h.toOwner(owner, results, func(e *entry) { got := sent; e.core.Result(e.w.now, &got) })
	if present := h.w.present().inc; present != owner {
		h.toOwner(present, results, func(e *entry) { got := sent; e.core.Result(e.w.now, &got) })
	}
}
