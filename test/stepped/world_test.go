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
	"persimmonstage/core/past"
	"persimmonstage/core/place"
	"persimmonstage/core/result"
	"persimmonstage/core/retry"
	"persimmonstage/core/roster"
	"persimmonstage/core/speed"
	"persimmonstage/core/target"
)

// flaw disables one mechanism, to see that the checks find it.
type flaw int

const (
	none     flaw = iota
	noLedger      // agents neither remember their starts nor tell a new owner of them
	noFence
	noLease   // an owner that was replaced goes on saying "not run"
	forgetful // an agent answers a query about an attempt that it has run with a refusal
)

const slotsEach = 2

// world is the owners, the agents and what is under way between them.
type world struct {
	t      require.TestingT
	flaw   flaw
	now    time.Time
	epoch  uint64
	owners []*entry
	agents []*host
	starts map[string]int
	jobs   []*job.Job
	told   map[int][]answer.Answer
	asked  map[int]int
	said   string    // a lie that was told
	lostAt time.Time // when a ledger was lost under the present map of owners
	moved  time.Time // when the present owner took over
}

// entry is an owner with its own view of the targets.
type entry struct {
	w      *world
	inc    string
	epoch  uint64
	core   *owner.Owner
	roster *roster.Roster
	ids    map[string]target.ID
	open   map[target.ID]int // starts sent there whose end the owner hasn't told
	lines  map[string]*line  // by the agent's incarnation
}

// line is the connection of an owner and an agent: two streams each way, ordered in themselves only.
type line struct {
	up      bool
	streams [4][]func()
}

// host is an agent with its target.
type host struct {
	w       *world
	name    string
	inc     string
	core    *agent.Agent
	ledger  *ledger.Ledger
	epoch   uint64
	running []*order.Order
}

func newWorld(t require.TestingT, f flaw, agents int) *world {
	w := &world{
		t: t, flaw: f, now: time.Unix(1_000_000, 0), starts: map[string]int{},
		told: map[int][]answer.Answer{}, asked: map[int]int{},
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
	h.inc = fmt.Sprintf("%s#%d", h.name, n)
	h.ledger = ledger.New(ledger.Config{Since: h.w.now})
	h.core = agent.New(h, h, h.starts(), needs.Vector{Slots: slotsEach})
	h.running = nil
	h.epoch = h.w.epoch
}

// amnesiac is a ledger that claims every start.
type amnesiac struct{ *ledger.Ledger }

func (a amnesiac) Start(now time.Time, k ledger.Key, shard int, d ledger.Digest, deadline time.Time) error {
	_ = a.Ledger.Start(now, k, shard, d, deadline)
	return nil
}

func (amnesiac) Task(ledger.Key, int) (ledger.Task, bool) { return ledger.Task{}, false }

type starts interface {
	Start(now time.Time, k ledger.Key, shard int, d ledger.Digest, deadline time.Time) error
	Finish(k ledger.Key, shard int, output []byte, failed bool) bool
	Task(k ledger.Key, shard int) (ledger.Task, bool)
}

func (h *host) starts() starts {
	if h.w.flaw == noLedger {
		return amnesiac{h.ledger}
	}
	return h.ledger
}

var errOldEpoch = errors.New("old-epoch")

// Admit is the fence: it obeys the newest epoch that the host has heard of.
func (h *host) Admit(_ time.Time, _ int, epoch uint64, _ string) error {
	if epoch != h.epoch && h.w.flaw != noFence {
		return errOldEpoch
	}
	return nil
}

// takeOver makes a new owner; the earlier ones don't know of it and go on. Every agent adopts its epoch.
func (w *world) takeOver() {
	w.epoch++
	e := &entry{
		w: w, inc: fmt.Sprintf("entry#%d", w.epoch), epoch: w.epoch, roster: &roster.Roster{},
		ids: map[string]target.ID{}, open: map[target.ID]int{}, lines: map[string]*line{},
	}
	rng := rand.New(rand.NewPCG(1, w.epoch))
	speeds := &speed.Table{}
	p := place.New(place.Bounded, e.roster, speeds, time.Millisecond)
	p.DelayLarge(true)
	e.core = owner.New(e, p, e.roster, &retry.Budget{}, admit.New(rng), e, rng)
	w.owners = append(w.owners, e)
	w.moved = w.now
	for _, h := range w.agents {
		h.epoch = w.epoch
		e.connect(h)
	}
}

// Holds is the lease: the test's word for an owner that has heard a majority.
func (e *entry) Holds(int) bool { return e.w.flaw == noLease || e == e.w.present() }

func (w *world) present() *entry { return w.owners[len(w.owners)-1] }

func (e *entry) connect(h *host) {
	l := e.lines[h.inc]
	if l == nil {
		l = &line{}
		e.lines[h.inc] = l
	}
	if l.up {
		return
	}
	l.up = true
	e.ids[h.inc], _ = e.roster.Announce(h.name, h.inc, "dc", "rack", needs.Vector{Slots: slotsEach}, e.w.now)
	e.core.Reconnected(h.inc)
}

// disconnect loses what is under way.
func (e *entry) disconnect(h *host) {
	if l := e.lines[h.inc]; l != nil && l.up {
		*l = line{}
		e.roster.Remove(e.ids[h.inc])
	}
}

// restart ends an agent and its ledger; what runs in the target runs on, unheard.
func (w *world) restart(h *host, n int) {
	old := h.inc
	for _, e := range w.owners {
		e.disconnect(h)
		delete(e.lines, old)
	}
	w.lostAt = w.now
	h.boot(n)
	for _, e := range w.owners {
		e.core.AgentLost(w.now, old)
		e.connect(h)
	}
}

func (w *world) byInc(inc string) *host {
	for _, h := range w.agents {
		if h.inc == inc {
			return h
		}
	}
	return nil
}

// submit sends a job to the present owner with what the agents' ledgers hold of it.
func (w *world) submit(i int) {
	e, j := w.present(), w.jobs[i]
	w.asked[i]++
	w.submitTo(e, i, *j)
}

func (w *world) submitTo(e *entry, i int, j job.Job) {
	var found []past.Start
	whole := true
	if !e.core.HasRecord(j.Key) && e.epoch > 1 {
		found = w.found(&j)
		whole = w.lostAt.IsZero() || j.Issued.After(w.moved)
	}
	j.Tasks = append(j.Tasks[:0:0], j.Tasks...)
	e.core.Submit(w.now, &j, 0, e.epoch, found, whole, nil, time.Time{}, func(a answer.Answer) { w.tell(i, a) })
}

func (w *world) cancel(i int) {
	w.asked[i]++
	w.present().core.Cancel(w.now, w.jobs[i].Key, func(a answer.Answer) { w.tell(i, a) })
}

// tell keeps an answer, and a lie about what has not started by now.
func (w *world) tell(i int, a answer.Answer) {
	if strings.HasSuffix(a.Reason, "before any task started") && w.started(w.jobs[i]) > 0 {
		w.said = fmt.Sprintf("job %d: %s", i, a.Reason)
	}
	w.told[i] = append(w.told[i], a)
}

func (w *world) started(j *job.Job) int {
	n := 0
	for k := range j.Tasks {
		n += w.starts[output(j.Key, k)]
	}
	return n
}

func (w *world) found(j *job.Job) []past.Start {
	var all []past.Start
	if w.flaw == noLedger {
		return nil
	}
	for _, h := range w.agents {
		rec, ok := h.ledger.Job(j.Key.Team, j.Key.ID, 0)
		if !ok {
			continue
		}
		for _, t := range rec.Tasks {
			all = append(all, past.Start{
				Agent: ident.Ident{Name: h.name, Incarnation: h.inc}, Index: int(t.Index), Digest: [job.DigestBytes]byte(rec.Digest),
			})
		}
	}
	return all
}

func output(k jobkey.Key, index int) string { return fmt.Sprintf("%s/%d", k, index) }

// end lets a target finish one of its tasks.
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
			if l := e.lines[h.inc]; l != nil && l.up {
				e.roster.Report(e.ids[h.inc], time.Duration(w.now.UnixNano()), needs.Vector{}, 0, 0, w.now)
			}
		}
		e.core.Tick(w.now)
	}
}
