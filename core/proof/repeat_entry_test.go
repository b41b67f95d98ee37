package proof

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/batch"
	"persimmonstage/core/claims"
	"persimmonstage/core/evac"
	"persimmonstage/core/gossip"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
)

// repeatEntry is an entry's process.
type repeatEntry struct {
	repeatHost
	name            string
	life            int
	sched           *sched.Sched
	deadUntil       time.Time
	sendCutUntil    map[*repeatAgent]time.Time // until when messages to an agent are lost
	receiveCutUntil map[*repeatAgent]time.Time // until when messages from an agent are lost
	links           map[string]*repeatLink
	onDeath         []func()      // callbacks of the callers for when the process dies
	steps           []func()      // posted and not processed yet
	dirty           []*repeatLink // those with orders to send
	cancelled       gossip.Gossip[string]
	claims          claims.Claims
	claimSerial     uint64
	evacuations     evac.Table
}

// repeatOrders is what an entry gathers for an agent while it processes the steps that are already posted, and sends in one frame.
type repeatOrders struct {
	starts []*runs.Order
	stops  []uint64
}

func (e *repeatEntry) id() string { return fmt.Sprint(e.name, "-", e.life) }

func (e *repeatEntry) alive() bool { return !e.w.now.Before(e.deadUntil) }

// whenRunning calls do in the process as soon as it isn't frozen, in the order of the calls of one connection, unless the process has
// been replaced by then.
func (e *repeatEntry) whenRunning(conn any, do func()) {
	life := e.life
	e.deliver(conn, func() {
		if e.alive() && e.life == life {
			e.post(do)
		}
	})
}

// maxStepDelay bounds the time until a posted step is processed: usually none, sometimes this long, as on a host without processor
// time to spare.
const maxStepDelay = 40 * time.Millisecond

// post processes a step together with those that are posted until then, and then sends the orders that they gave.
func (e *repeatEntry) post(do func()) {
	e.steps = append(e.steps, do)
	if len(e.steps) > 1 {
		return
	}
	delay := time.Duration(0)
	if e.w.rng.IntN(10) == 0 {
		delay = time.Duration(e.w.rng.Int64N(int64(maxStepDelay)))
	}
	life := e.life
	e.w.after(delay, func() {
		if !e.alive() || e.life != life {
			return
		}
		steps := e.steps
		e.steps = nil
		for _, step := range steps {
			step()
		}
		e.flush()
	})
}

// flush sends the orders that were gathered, one frame a connection.
func (e *repeatEntry) flush() {
	owner := e.id()
	for _, l := range e.dirty {
		o := l.orders
		l.orders = nil
		e.sendOver(l, func() {
			for _, s := range o.starts {
				s.Cancelled = l.agent.cancelled.Known(e.w.now, batch.JobOf(s.Task))
			}
			l.agent.runs.Orders(e.w.now, owner, o.starts, o.stops)
		})
	}
	e.dirty = nil
}

// withdraw cancels jobs that callers have cancelled at other entries.
func (e *repeatEntry) withdraw(ids []string) {
	for _, id := range ids {
		if e.cancelled.Add(e.w.now, id) {
			e.sched.Withdraw(e.w.now, id)
		}
	}
}

// ordersFor returns what is gathered for the present connection of a target's agent.
func (e *repeatEntry) ordersFor(target string) *repeatOrders {
	l := e.links[target]
	if l == nil {
		return &repeatOrders{}
	}
	if l.orders == nil {
		l.orders = &repeatOrders{}
		e.dirty = append(e.dirty, l)
	}
	return l.orders
}

func (e *repeatEntry) sendOver(l *repeatLink, do func()) {
	if !l.up || e.w.now.Before(e.sendCutUntil[l.agent]) {
		return
	}
	a, life := l.agent, l.agent.life
	e.w.after(repeatLatency, func() {
		if !l.up {
			return
		}
		a.deliver(l, func() {
			if a.life == life && a.links[e] == l { // else the agent has connected again
				l.agentReceived = e.w.now
				do()
			}
		})
	})
}

func (e *repeatEntry) Start(target string, s *sched.Start) {
	o := e.ordersFor(target)
	o.starts = append(o.starts, &runs.Order{
		Attempt: s.Attempt, Task: s.Task, Number: s.Number, Millicores: s.Millicores, MemoryMB: s.MemoryMB,
		Expected: time.Duration(s.ExpectedMS) * time.Millisecond, Process: s.Process, Payload: s.Payload, StopBy: s.StopBy,
	})
}

func (e *repeatEntry) Stop(target string, id uint64) {
	o := e.ordersFor(target)
	o.stops = append(o.stops, id)
}

func (e *repeatEntry) JobAccepted(*sched.JobArrival) {}

// holder identifies the process in its claims.
func (e *repeatEntry) holder() uint64 { return xxhash.Sum64String(e.id()) }

func (e *repeatEntry) JobClaimed(id string, until time.Time) {
	e.claimSerial++
	e.claims.Make(e.w.now, claims.Claim{Job: id, Holder: e.holder(), Serial: e.claimSerial, Until: until})
}

// receiveClaims takes the claims of other entries.
func (e *repeatEntry) receiveClaims(list []claims.Claim) {
	for _, c := range list {
		if e.claims.Receive(e.w.now, c) {
			e.sched.Claimed(e.w.now, c.Job, c.Until)
		}
	}
}

func (e *repeatEntry) JobStarted(time.Duration) {}

func (e *repeatEntry) AttemptEnded(string, int, string, string, time.Duration) {}

func (e *repeatEntry) AttemptOutlasted(string, int, string, string, time.Duration) {}

func (e *repeatEntry) TaskMoved(string, string, int64) {}

func (e *repeatEntry) RouteConfined(string, bool, []string) {}

func (e *repeatEntry) JobEnded(*sched.JobSummary) {}
