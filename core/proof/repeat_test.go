package proof

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/crash"
	"persimmonstage/core/heap"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
	"persimmonstage/core/runs"
	"persimmonstage/core/sched"
	"persimmonstage/core/times"
)

// The schedulers of two entries and the run tables of three agents are stepped together on a simulated clock: targets lose
// answers and execute starts late, links are cut one way or both ways, and hosts' processes are killed or frozen. Callers resubmit a
// job 1.3 s after a failure. No task may run twice at the same time.
var repeatSeeds = flag.Int("repeat-seeds", 150, "sequences of repeatable jobs")

const (
	repeatSpan        = 12 * time.Second
	repeatLatency     = time.Millisecond
	repeatLinkTimeout = 450 * time.Millisecond
	repeatResend      = 1300 * time.Millisecond
	repeatWait        = 4 * time.Second
)

// repeatEvent is something that happens at a time; of those at the same time, the one that was scheduled first comes first.
type repeatEvent struct {
	at     time.Time
	number int
	do     func()
}

func (e repeatEvent) before(other repeatEvent) bool {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.number, other.number)) < 0
}

// repeatWorld holds the simulated clock, the targets and the processes.
type repeatWorld struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	now    time.Time
	events *heap.Heap[repeatEvent]
	// scheduled is the number of events so far.
	scheduled int
	entries   []*repeatEntry
	agents    []*repeatAgent
	running   map[string]int
	starts    int
	done      int
}

func (w *repeatWorld) after(d time.Duration, do func()) {
	w.scheduled++
	w.events.Push(repeatEvent{w.now.Add(d), w.scheduled, do})
}

func (w *repeatWorld) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// repeatTarget is the target of an agent; it checks by the simulated clock that no task runs twice at a time.
type repeatTarget struct {
	w         *repeatWorld
	running   map[runs.Key]time.Time // the time of its end
	lastEnded map[string]int
	token     int // highest of the agent's processes; calls with a lower one have no effect
	leaseEnd  time.Time
	finished  []runs.Finish
	index     int64
}

// fenced reports whether a call comes from an earlier process than the latest caller.
func (t *repeatTarget) fenced(token int) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

func (t *repeatTarget) start(token int, k runs.Key, work time.Duration, until time.Time) runs.Answer {
	if t.fenced(token) {
		return runs.Rejected
	}
	t.extend(until)
	for other := range t.running {
		if other.Task == k.Task {
			if other.Number == k.Number {
				return runs.Accepted
			}
			return runs.Rejected
		}
	}
	if k.Number <= t.lastEnded[k.Task] || !t.w.now.Before(t.leaseEnd) {
		return runs.Rejected
	}
	t.running[k] = t.w.now.Add(work)
	t.w.starts++
	t.w.running[k.Task]++
	require.Equal(t.w.t, 1, t.w.running[k.Task], "seed %d: %s runs twice at %s", t.w.seed, k.Task, t.w.now.Sub(time.Unix(1000, 0)))
	t.w.after(work, func() { t.end(k, "done") })
	return runs.Accepted
}

func (t *repeatTarget) end(k runs.Key, how string) {
	at, ok := t.running[k]
	if !ok || how == "done" && t.w.now.Before(at) {
		return
	}
	delete(t.running, k)
	t.lastEnded[k.Task] = max(t.lastEnded[k.Task], k.Number)
	t.w.running[k.Task]--
	t.index++
	t.finished = append(t.finished, runs.Finish{Key: k, Index: t.index, How: how})
}

func (t *repeatTarget) stop(token int, k runs.Key) {
	if t.fenced(token) {
		return
	}
	t.lastEnded[k.Task] = max(t.lastEnded[k.Task], k.Number)
	t.end(k, "stopped")
}

func (t *repeatTarget) extend(until time.Time) {
	if !until.After(t.leaseEnd) {
		return
	}
	t.leaseEnd = until
	t.w.after(until.Sub(t.w.now), func() {
		if t.w.now.Before(t.leaseEnd) {
			return
		}
		for _, k := range t.sortedRuns() {
			t.end(k, "lapsed")
		}
	})
}

func (t *repeatTarget) poll(token int, ack int64, until, sent time.Time) *runs.Listing {
	if t.fenced(token) {
		return &runs.Listing{Sent: sent}
	}
	if !until.IsZero() {
		t.extend(until)
	}
	t.finished = slices.DeleteFunc(t.finished, func(f runs.Finish) bool { return f.Index <= ack })
	l := &runs.Listing{Sent: sent, Finished: slices.Clone(t.finished)}
	for _, k := range t.sortedRuns() {
		l.Running = append(l.Running, runs.Progress{Key: k, Percent: 50})
	}
	return l
}

// sortedRuns returns the runs in a fixed order, so that a seed gives the same sequence each time.
func (t *repeatTarget) sortedRuns() []runs.Key {
	return slices.SortedFunc(maps.Keys(t.running), func(a, b runs.Key) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
}

// repeatLink is a connection between an agent and an entry's process; messages of a closed one are dropped.
type repeatLink struct {
	entry         *repeatEntry
	agent         *repeatAgent
	up            bool
	agentReceived time.Time
	entryReceived time.Time
	orders        *repeatOrders
}

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
	queued          map[*repeatAgent]bool // whose connections wait until the frozen process accepts them
	onDeath         []func()              // callbacks of the callers for when the process dies
	steps           []func()              // posted and not processed yet
	dirty           []*repeatLink         // those with orders to send
}

// repeatOrders is what an entry gathers for an agent while it processes the steps that are already posted, and sends in one frame.
type repeatOrders struct {
	starts []*runs.Order
	stops  []uint64
}

func (e *repeatEntry) id() string { return fmt.Sprint(e.name, "-", e.life) }

func (e *repeatEntry) alive() bool { return !e.w.now.Before(e.deadUntil) }

// whenRunning calls do in the process as soon as it isn't frozen, in the order of the calls, unless the process has been replaced
// by then.
func (e *repeatEntry) whenRunning(do func()) {
	life := e.life
	e.deliver(func() {
		if e.alive() && e.life == life {
			e.post(do)
		}
	})
}

// repeatHost is the host of a process; while it is frozen, what arrives for the process is held.
type repeatHost struct {
	w           *repeatWorld
	frozenUntil time.Time
	arrived     []func() // not read yet
	reading     bool
}

func (h *repeatHost) frozen() bool { return h.w.now.Before(h.frozenUntil) }

func (h *repeatHost) freeze(until time.Time) { h.frozenUntil = times.Later(h.frozenUntil, until) }

func (h *repeatHost) thaw() { h.frozenUntil = time.Time{} }

func (h *repeatHost) deliver(do func()) {
	h.arrived = append(h.arrived, do)
	if !h.reading {
		h.reading = true
		h.read()
	}
}

// read processes what has arrived, in order. After a freeze connections are read one after the other, so that a timer of the process
// may come first, and a request is processed before the end of its connection is noticed.
func (h *repeatHost) read() {
	if h.frozen() {
		h.w.after(h.frozenUntil.Sub(h.w.now), h.read)
		return
	}
	do := h.arrived[0]
	h.arrived = h.arrived[1:]
	do()
	if h.reading = len(h.arrived) > 0; h.reading {
		h.w.after(time.Duration(h.w.rng.Int64N(int64(maxReadDelay))), h.read)
	}
}

// maxReadDelay bounds the time between two readings of connections that have something to read.
const maxReadDelay = 2 * time.Millisecond

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
		e.sendOver(l, func() { l.agent.runs.Orders(e.w.now, owner, o.starts, o.stops) })
	}
	e.dirty = nil
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

func (e *repeatEntry) send(a *repeatAgent, do func()) {
	if l := e.links[a.name]; l != nil {
		e.sendOver(l, do)
	}
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
		a.deliver(func() {
			if a.life == life && (e.links[a.name] == l || e.links[a.name] == nil) { // else the agent has connected again
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
		Expected: time.Duration(s.ExpectedMS) * time.Millisecond,
	})
}

func (e *repeatEntry) Stop(target string, id uint64) {
	o := e.ordersFor(target)
	o.stops = append(o.stops, id)
}

func (e *repeatEntry) JobAccepted(*sched.JobArrival) {}

func (e *repeatEntry) JobStarted(time.Duration) {}

func (e *repeatEntry) AttemptEnded(string, int, string, string, time.Duration) {}

func (e *repeatEntry) TaskMoved(string, string, int64) {}

func (e *repeatEntry) RouteConfined(string, bool, []string) {}

func (e *repeatEntry) JobEnded(*sched.JobSummary) {}

// repeatAgent is an agent's process together with its target and the calls between them.
type repeatAgent struct {
	repeatHost
	name   string
	life   int
	runs   *runs.Runs
	target *repeatTarget
	// ordersLateUntil is until when the target leaves all starts and stops unanswered and executes them late.
	ordersLateUntil time.Time
}

// whenRunning calls do in the process as soon as it isn't frozen, unless the process has been replaced by then.
func (a *repeatAgent) whenRunning(do func()) {
	life := a.life
	a.deliver(func() {
		if a.life == life {
			do()
		}
	})
}

// later calls do in the process after d, or as soon as it isn't frozen.
func (a *repeatAgent) later(d time.Duration, do func()) {
	life := a.life
	a.w.after(d, func() {
		a.deliver(func() {
			if a.life == life {
				do()
			}
		})
	})
}

// regularly calls do in the process once per period while it isn't frozen.
func (a *repeatAgent) regularly(period time.Duration, do func()) {
	a.w.every(period, func() {
		if !a.frozen() {
			do()
		}
	})
}

// lateShare is the fraction of an agent's calls that get no answer and are executed up to lateSpan later: half of them in every
// third sequence.
func (w *repeatWorld) lateShare() float64 {
	if w.seed%3 == 0 {
		return 0.5
	}
	return 0.08
}

const (
	lateSpan      = 6 * time.Second
	repeatCalls   = 6
	repeatTimeout = 8 * time.Millisecond
)

func (w *repeatWorld) isLate() bool { return w.rng.Float64() < w.lateShare() }

// isOrderLate is isLate for starts and stops, which a target may leave unanswered while it answers polls.
func (a *repeatAgent) isOrderLate() bool { return a.w.now.Before(a.ordersLateUntil) || a.w.isLate() }

func (w *repeatWorld) late(do func()) {
	w.after(time.Duration(w.rng.Int64N(int64(lateSpan))), do)
}

// Start calls the target until it answers; each call without an answer may have been executed, or is executed later.
func (a *repeatAgent) Start(k runs.Key, o *runs.Order, until time.Time) { a.callStart(k, o, until, 1) }

func (a *repeatAgent) callStart(k runs.Key, o *runs.Order, until time.Time, call int) {
	if !a.w.now.Before(until) { // the process was frozen meanwhile
		answer := runs.Lost
		if call == 1 {
			answer = runs.Rejected
		}
		a.runs.StartAnswered(a.w.now, k, answer, "lease ended")
		return
	}
	work, token := o.Expected, a.life
	start := func() runs.Answer { return a.target.start(token, k, work, until) }
	switch {
	case a.isOrderLate():
		a.w.late(func() { start() })
	case a.w.rng.IntN(12) == 0: // executed, but the answer is lost
		a.w.after(repeatLatency, func() { start() })
	default:
		a.w.after(repeatLatency, func() {
			answer := start()
			if answer == runs.Rejected && call > 1 {
				answer = runs.Lost // an earlier call may have been executed, or may still be
			}
			a.whenRunning(func() { a.runs.StartAnswered(a.w.now, k, answer, "old") })
		})
		return
	}
	a.later(repeatTimeout, func() {
		if call == repeatCalls {
			a.runs.StartAnswered(a.w.now, k, runs.Lost, "old")
			return
		}
		a.callStart(k, o, until, call+1)
	})
}

func (a *repeatAgent) Stop(k runs.Key) {
	token := a.life
	if a.isOrderLate() {
		a.w.late(func() { a.target.stop(token, k) })
		return
	}
	a.w.after(repeatLatency, func() {
		a.target.stop(token, k)
		a.later(repeatLatency, func() { a.runs.StopAnswered(a.w.now, k, runs.Accepted) })
	})
}

func (a *repeatAgent) Ended(owner string, attempt uint64, how string, _ uint32) {
	a.report(owner, func(e *repeatEntry) { e.sched.Ended(e.w.now, a.name, attempt, how) })
}
func (a *repeatAgent) Crashed(*crash.Report)                           {}
func (a *repeatAgent) Forecast(string, uint64, time.Duration)          {}
func (a *repeatAgent) Closed(runs.Key, string, uint64, string, uint32) {}
func (a *repeatAgent) Changed() {
	for _, e := range a.w.entries {
		a.report(e.id(), func(e *repeatEntry) { e.sched.UpdateTarget(e.w.now, a.name, a.state(e)) })
	}
}

func (a *repeatAgent) state(e *repeatEntry) sched.TargetState {
	s := a.runs.State(a.w.now, e.id())
	return sched.TargetState{
		Service: s.Service, Millicores: s.Millicores, MemoryMB: s.MemoryMB, UsedMillicores: s.UsedMillicores,
		UsedMemoryMB: s.UsedMemoryMB, Usable: s.Usable, Pace: 1, Seen: s.Seen,
	}
}

// report delivers a message to an entry's process over its connection.
func (a *repeatAgent) report(owner string, do func(e *repeatEntry)) {
	for _, e := range a.w.entries {
		l := e.links[a.name]
		if e.id() != owner || l == nil || !l.up || a.w.now.Before(e.receiveCutUntil[a]) {
			continue
		}
		a.w.after(repeatLatency, func() {
			e.whenRunning(func() {
				if l.up && e.id() == owner {
					l.entryReceived = e.w.now
					do(e)
				}
			})
		})
	}
}

func (a *repeatAgent) poll() {
	until, _ := a.runs.ExtendLease(a.w.now)
	token, sent, ack := a.life, a.w.now, a.runs.Ack()
	if a.w.isLate() {
		a.w.late(func() { a.target.poll(token, ack, until, sent) })
		return
	}
	// The target answers at some time within the wait, and answers may overtake one another.
	life := a.life
	a.w.after(time.Duration(a.w.rng.IntN(30))*time.Millisecond, func() {
		if a.life != life {
			return
		}
		l := a.target.poll(token, ack, until, sent)
		l.Clock = a.w.now.UnixMilli()
		a.later(time.Duration(1+a.w.rng.IntN(40))*time.Millisecond, func() { a.runs.Listed(a.w.now, l) })
	})
}

// maintainLink connects an agent and an entry, exchanges heartbeats, and closes a link after repeatLinkTimeout without any.
func (w *repeatWorld) maintainLink(a *repeatAgent, e *repeatEntry) {
	l := e.links[a.name]
	passes := !w.now.Before(e.sendCutUntil[a]) && !w.now.Before(e.receiveCutUntil[a])
	switch {
	case l == nil || !l.up:
		if !passes || !e.alive() || a.frozen() || !a.runs.Clean() {
			return
		}
		if e.frozen() { // the connection and the hello wait in the entry's queue of connections
			if !e.queued[a] {
				e.queued[a] = true
				w.after(e.frozenUntil.Sub(w.now)+time.Duration(w.rng.IntN(3000))*time.Microsecond, func() {
					e.queued[a] = false
					if !e.frozen() {
						w.maintainLink(a, e)
					}
				})
			}
			return
		}
		l = &repeatLink{entry: e, agent: a, up: true, agentReceived: w.now, entryReceived: w.now}
		e.links[a.name] = l
		open := e.sched.Join(w.now, a.name, fmt.Sprint(a.life), "z", a.state(e))
		a.runs.RecordEcho(e.id(), w.now)
		a.runs.Reconnected(w.now, e.id(), open)
	case !a.frozen() && w.now.Sub(l.agentReceived) > repeatLinkTimeout,
		!e.frozen() && w.now.Sub(l.entryReceived) > repeatLinkTimeout:
		w.drop(l)
	case !a.frozen():
		stamp, owner := w.now, e.id()
		a.report(owner, func(e *repeatEntry) { e.send(a, func() { a.runs.RecordEcho(owner, stamp) }) })
	}
}

func (w *repeatWorld) drop(l *repeatLink) {
	l.up = false
	l.entry.whenRunning(func() {
		if l.entry.links[l.agent.name] == l { // else the agent has connected again
			l.entry.sched.Disconnect(l.agent.name, w.now.Add(runs.Expiry))
		}
	})
}

func (w *repeatWorld) bootAgent(a *repeatAgent) {
	a.life++
	a.thaw()
	a.runs = runs.New(a)
	a.runs.Announced(w.now, &runs.Instance{ID: "i", Addr: a.name, Born: 1, Service: "s", Millicores: 20_000, MemoryMB: 1000, Sequence: 1})
	for _, e := range w.entries {
		if l := e.links[a.name]; l != nil && l.up {
			w.drop(l)
		}
	}
}

func (w *repeatWorld) bootEntry(e *repeatEntry) {
	e.life++
	e.thaw()
	e.sched = sched.New(e, rand.New(rand.NewPCG(w.seed, uint64(e.life))))
	for _, l := range e.links {
		l.up = false
	}
	e.links = map[string]*repeatLink{}
	e.steps, e.dirty = nil, nil
	for _, b := range e.onDeath {
		w.after(repeatLatency, b)
	}
	e.onDeath = nil
}

var repeatRoute = &route.Route{Name: "q", Service: "s", MaxAttempts: 3, BaseObjective: 3 * time.Second, Stretch: 2}

// submit sends a job to an entry, and again after a failure or after the caller has left. The entry reads the request and the
// end of the connection only while it runs; each counts the caller's deadline from its own reading of the request.
func (w *repeatWorld) submit(id string, tasks int, work time.Duration) {
	e := w.entries[w.rng.IntN(len(w.entries))]
	over := false
	resubmit := func() {
		if !over {
			over = true
			w.after(repeatResend, func() { w.submit(id, tasks, work) })
		}
	}
	if !e.alive() {
		resubmit()
		return
	}
	e.onDeath = append(e.onDeath, resubmit)
	caller := uint64(0)
	e.whenRunning(func() {
		caller = e.sched.Submit(w.now, &batch.Batch{
			ID: id, Route: repeatRoute, Tasks: tasks, Millicores: 5000, MemoryMB: 1, Declared: work, Deadline: w.now.Add(repeatWait),
		}, func(f jobend.Outcome) {
			switch {
			case over:
			case f.Kind == jobend.Unfinished:
				resubmit()
			default:
				over = true
				w.done++
			}
		})
	})
	w.after(w.callerPatience(), func() {
		if !over {
			e.whenRunning(func() { e.sched.Leave(w.now, id, caller) })
			resubmit()
		}
	})
}

// callerPatience returns how long a caller waits for the answer: one in five leaves early, half of these almost at once.
func (w *repeatWorld) callerPatience() time.Duration {
	switch w.rng.IntN(10) {
	case 0:
		return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
	case 1:
		return time.Duration(w.rng.Int64N(int64(time.Second)))
	}
	return repeatWait
}

// injectFault injects one random fault.
func (w *repeatWorld) injectFault() {
	e, a := w.entries[w.rng.IntN(len(w.entries))], w.agents[w.rng.IntN(len(w.agents))]
	until := w.now.Add(time.Duration(100+w.rng.IntN(2500)) * time.Millisecond)
	switch w.rng.IntN(8) {
	case 7:
		a.ordersLateUntil = until
	case 0:
		e.freeze(until)
	case 6:
		a.freeze(until)
	case 1:
		e.deadUntil = until
		w.bootEntry(e)
	case 2:
		w.bootAgent(a)
	case 3:
		e.sendCutUntil[a] = until
	case 4:
		e.receiveCutUntil[a] = until
	case 5:
		e.sendCutUntil[a], e.receiveCutUntil[a] = until, until
	}
}

func newRepeatWorld(t *testing.T, seed uint64) *repeatWorld {
	w := &repeatWorld{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), running: map[string]int{},
		events: heap.New(repeatEvent.before, func(repeatEvent, int) {}),
	}
	for i := range 2 {
		e := &repeatEntry{
			repeatHost: repeatHost{w: w}, name: fmt.Sprint("e", i),
			queued: map[*repeatAgent]bool{}, sendCutUntil: map[*repeatAgent]time.Time{}, receiveCutUntil: map[*repeatAgent]time.Time{},
		}
		w.entries = append(w.entries, e)
		w.bootEntry(e)
	}
	for i := range 3 {
		a := &repeatAgent{repeatHost: repeatHost{w: w}, name: fmt.Sprint("a", i)}
		a.target = &repeatTarget{w: w, running: map[runs.Key]time.Time{}, lastEnded: map[string]int{}}
		w.agents = append(w.agents, a)
		w.bootAgent(a)
		a.regularly(15*time.Millisecond, a.poll)
		a.regularly(20*time.Millisecond, func() { a.runs.Tick(w.now) })
		for _, e := range w.entries {
			w.every(120*time.Millisecond, func() { w.maintainLink(a, e) })
		}
	}
	for _, e := range w.entries {
		w.every(10*time.Millisecond, func() {
			if e.alive() && !e.frozen() {
				e.post(func() { e.sched.Tick(w.now) })
			}
		})
	}
	return w
}

func (w *repeatWorld) run() {
	jobs := 0
	w.every(70*time.Millisecond, func() {
		jobs++
		w.submit(fmt.Sprintf("%016x", jobs), 1+w.rng.IntN(3), time.Duration(30+w.rng.IntN(1800))*time.Millisecond)
	})
	w.every(350*time.Millisecond, w.injectFault)
	end := w.now.Add(repeatSpan)
	for w.now.Before(end) {
		e := w.events.Remove(0)
		w.now = e.at
		e.do()
	}
}

func TestNoTaskOfARepeatableJobRunsTwiceAtATime(t *testing.T) {
	starts, done := 0, 0
	for seed := range uint64(*repeatSeeds) {
		w := newRepeatWorld(t, seed)
		w.run()
		starts += w.starts
		done += w.done
	}
	t.Logf("%d sequences: %d starts, %d jobs ended", *repeatSeeds, starts, done)
	require.Greater(t, starts, 20**repeatSeeds)
	require.Greater(t, done, 20**repeatSeeds)
}
