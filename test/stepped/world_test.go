package stepped

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/admit"
	"persimmonstage/core/agent"
	"persimmonstage/core/answer"
	"persimmonstage/core/ident"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/ledger"
	"persimmonstage/core/needs"
	"persimmonstage/core/order"
	"persimmonstage/core/owner"
	"persimmonstage/core/place"
	"persimmonstage/core/prior"
	"persimmonstage/core/result"
	"persimmonstage/core/retry"
	"persimmonstage/core/roster"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

// flaw disables one mechanism, to show that the checks detect its absence.
type flaw int

const (
	none     flaw = iota
	noLedger      // agents neither record their starts nor report them to a new owner
	noFence
	noLease       // a replaced owner still answers "not run"
	refuseStarted // an agent answers every query with a refusal, even about an attempt that it has run
)

const slotsPerAgent = 2

// world holds the owners, the agents and the messages between them.
type world struct {
	t            require.TestingT
	flaw         flaw
	now          time.Time
	epoch        uint64
	owners       []*entry
	agents       []*host
	starts       map[string]int
	jobs         []*job.Job
	answers      map[int][]answer.Answer
	requests     map[int]int
	falseNotRun  string    // latest false answer that no task started
	ledgerLostAt time.Time // when an agent last lost its ledger
	takenOverAt  time.Time // when the current owner took over
}

// entry is an owner with its own view of the targets.
type entry struct {
	w           *world
	incarnation string
	epoch       uint64
	core        *owner.Owner
	roster      *roster.Roster
	ids         map[string]target.ID
	openStarts  map[target.ID]int // starts sent to the target whose end the owner hasn't reported
	links       map[string]*link  // keyed by the agent's incarnation
}

// link is the connection of an owner and an agent: two streams each way, ordered only within each stream.
type link struct {
	up      bool
	streams [4][]func()
}

// host is an agent with its target.
type host struct {
	w           *world
	name        string
	incarnation string
	core        *agent.Agent
	ledger      *ledger.Ledger
	epoch       uint64
	running     []*order.Order
}

func newWorld(t require.TestingT, f flaw, agents int) *world {
	w := &world{
		t: t, flaw: f, now: time.Unix(1_000_000, 0), starts: map[string]int{},
		answers: map[int][]answer.Answer{}, requests: map[int]int{},
	}
	for i := range agents {
		h := &host{w: w, name: fmt.Sprintf("agent-%d", i)}
		w.agents = append(w.agents, h)
		h.boot(1)
	}
	w.takeOver()
	return w
}

func (h *host) boot(n int) {
	h.incarnation = fmt.Sprintf("%s#%d", h.name, n)
	h.ledger = ledger.New(ledger.Config{Since: h.w.now})
	h.core = agent.New(h, h, h.starts(), needs.Vector{Slots: slotsPerAgent})
	h.running = nil
	h.epoch = h.w.epoch
}

// forgetfulLedger is a ledger that permits every start and reports none.
type forgetfulLedger struct{ *ledger.Ledger }

func (a forgetfulLedger) Start(now time.Time, k ledger.Key, shard int, d ledger.Digest, deadline time.Time) error {
	_ = a.Ledger.Start(now, k, shard, d, deadline)
	return nil
}

func (forgetfulLedger) Task(ledger.Key, int) (ledger.Task, bool) { return ledger.Task{}, false }

type startLedger interface {
	Start(now time.Time, k ledger.Key, shard int, d ledger.Digest, deadline time.Time) error
	Finish(k ledger.Key, shard int, output []byte, failed bool) bool
	Task(k ledger.Key, shard int) (ledger.Task, bool)
}

func (h *host) starts() startLedger {
	if h.w.flaw == noLedger {
		return forgetfulLedger{h.ledger}
	}
	return h.ledger
}

var errOldEpoch = errors.New("old-epoch")

// Admit is the fence: it admits only the newest epoch that the agent has adopted.
func (h *host) Admit(_ time.Time, _ int, epoch uint64, _ string) error {
	if epoch != h.epoch && h.w.flaw != noFence {
		return errOldEpoch
	}
	return nil
}

// takeOver adds a new owner, whose epoch every agent adopts; the earlier owners aren't informed and keep running.
func (w *world) takeOver() {
	w.epoch++
	e := &entry{
		w: w, incarnation: fmt.Sprintf("entry#%d", w.epoch), epoch: w.epoch, roster: &roster.Roster{},
		ids: map[string]target.ID{}, openStarts: map[target.ID]int{}, links: map[string]*link{},
	}
	rng := rand.New(rand.NewPCG(1, w.epoch))
	speeds := &speed.Table{}
	p := place.New(place.Bounded, e.roster, speeds, time.Millisecond)
	p.DelayLarge(true)
	e.core = owner.New(e, p, e.roster, &retry.Budget{}, admit.New(rng), e, rng)
	w.owners = append(w.owners, e)
	w.takenOverAt = w.now
	for _, h := range w.agents {
		h.epoch = w.epoch
		e.connect(h)
	}
}

// Holds is the lease, which stands for an owner that a majority has answered; only the current owner holds it.
func (e *entry) Holds(int) bool { return e.w.flaw == noLease || e == e.w.currentOwner() }

func (w *world) currentOwner() *entry { return w.owners[len(w.owners)-1] }

func (e *entry) connect(h *host) {
	l := e.links[h.incarnation]
	if l == nil {
		l = &link{}
		e.links[h.incarnation] = l
	}
	if l.up {
		return
	}
	l.up = true
	e.ids[h.incarnation], _ = e.roster.Announce(h.name, h.incarnation, "dc", "rack", needs.Vector{Slots: slotsPerAgent}, e.w.now)
	e.core.Reconnected(h.incarnation)
}

// disconnect closes the link and loses its messages.
func (e *entry) disconnect(h *host) {
	if l := e.links[h.incarnation]; l != nil && l.up {
		*l = link{}
		e.roster.Remove(e.ids[h.incarnation])
	}
}

// restart replaces an agent, which loses its ledger; tasks in the target run on, and their ends are lost.
func (w *world) restart(h *host, n int) {
	old := h.incarnation
	for _, e := range w.owners {
		e.disconnect(h)
		delete(e.links, old)
	}
	w.ledgerLostAt = w.now
	h.boot(n)
	for _, e := range w.owners {
		e.core.AgentLost(w.now, old)
		e.connect(h)
	}
}

func (w *world) agentByIncarnation(inc string) *host {
	for _, h := range w.agents {
		if h.incarnation == inc {
			return h
		}
	}
	return nil
}

// submit sends a job to the current owner with the starts recorded in the agents' ledgers.
func (w *world) submit(i int) {
	e, j := w.currentOwner(), w.jobs[i]
	w.requests[i]++
	w.submitTo(e, i, *j)
}

func (w *world) submitTo(e *entry, i int, j job.Job) {
	var found []prior.Start
	whole := true
	if !e.core.HasRecord(j.Key) && e.epoch > 1 {
		found = w.found(&j)
		whole = w.ledgerLostAt.IsZero() || j.Issued.After(w.takenOverAt)
	}
	j.Tasks = append(j.Tasks[:0:0], j.Tasks...)
	e.core.Submit(w.now, &j, 0, e.epoch, found, whole, nil, time.Time{}, func(a answer.Answer) { w.recordAnswer(i, a) })
}

func (w *world) cancel(i int) {
	w.requests[i]++
	w.currentOwner().core.Cancel(w.now, w.jobs[i].Key, func(a answer.Answer) { w.recordAnswer(i, a) })
}

// recordAnswer keeps an answer, and notes one that denies a start which has happened.
func (w *world) recordAnswer(i int, a answer.Answer) {
	if strings.HasSuffix(a.Reason, "before any task started") && w.started(w.jobs[i]) > 0 {
		w.falseNotRun = fmt.Sprintf("job %d: %s", i, a.Reason)
	}
	w.answers[i] = append(w.answers[i], a)
}

func (w *world) started(j *job.Job) int {
	n := 0
	for k := range j.Tasks {
		n += w.starts[output(j.Key, k)]
	}
	return n
}

func (w *world) found(j *job.Job) []prior.Start {
	var all []prior.Start
	if w.flaw == noLedger {
		return nil
	}
	for _, h := range w.agents {
		rec, ok := h.ledger.Job(j.Key.Team, j.Key.ID, 0)
		if !ok {
			continue
		}
		for _, t := range rec.Tasks {
			all = append(all, prior.Start{
				Agent: ident.Ident{Name: h.name, Incarnation: h.incarnation}, Index: int(t.Index), Digest: [job.DigestBytes]byte(rec.Digest),
			})
		}
	}
	return all
}

func output(k jobkey.Key, index int) string { return fmt.Sprintf("%s/%d", k, index) }

// end finishes one of the tasks running in the target.
func (h *host) end(n int, ok bool) {
	if len(h.running) == 0 {
		return
	}
	n %= len(h.running)
	o := h.running[n]
	h.running = append(h.running[:n:n], h.running[n+1:]...)
	r := &result.Result{Key: o.Key, Index: o.Index, OK: ok, Ran: 10 * time.Millisecond}
	if ok {
		r.Output = []byte(output(o.Key, o.Index))
	} else {
		r.Reason = "failed"
	}
	h.core.Ended(h.w.now, r)
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, h := range w.agents {
		h.core.Tick(w.now)
	}
	for _, e := range w.owners {
		for _, h := range w.agents {
			if l := e.links[h.incarnation]; l != nil && l.up {
				e.roster.Report(e.ids[h.incarnation], time.Duration(w.now.UnixNano()), needs.Vector{}, 0, 0, w.now)
			}
		}
		e.core.Tick(w.now)
	}
}
