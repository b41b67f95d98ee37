package proof

// A world is a few entries, agents and a log, stepped by hand: the cores are the real ones, and the code here does only what the
// network glue must do. A flaw disables one mechanism by lying to the core from outside, so that the cores have no switches.

import (
	"encoding/json"
	"fmt"
	"time"

	"persimmonstage/core/fence"
	"persimmonstage/core/group"
	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
	"persimmonstage/core/member"
	"persimmonstage/core/recov"
)

const (
	unit     = time.Second
	logNode  = 100
	agentsAt = 10 // node number of the first agent
	team     = "senandung"
	forever  = 1 << 40 // a version beyond all
)

type flaw int

const (
	sound         flaw = iota
	noMajority         // an agent doesn't ask who answered it
	noStamp            // an answer counts from its arrival
	noGrace            // a new owner doesn't wait
	noSeal             // a new owner doesn't wait for a seal quorum
	noAsking           // a new owner doesn't ask the agents
	noLedger           // an agent doesn't record starts
	noRefusal          // an agent doesn't record refusals
	noEpoch            // an agent obeys whoever sends
	noFence            // a new owner takes the map's record for the moment from which nobody else is obeyed
	noRoster           // a new owner asks only the agents that it knows itself
	noOpen             // a map lists only its direct predecessor
	noIdentity         // an agent takes whoever answers at a member's address for this member
	noIncarnation      // an agent that was restarted passes for the one before
)

type world struct {
	flaw    flaw
	timing  timing
	shards  int
	now     time.Time
	log     [][]byte
	dropped int // records that the log has dropped
	ids     int
	entries []*entry
	agents  []*agent
	jobs    []*job
	cuts    map[[2]int]bool
	held    []message
	served  map[int]uint64 // highest epoch under which a job of the shard was reported as never started
	owners  map[owner]string
	errs    []string

	verdicts map[recov.Verdict]int // how often each was given, kept only if not nil
	used     map[string]int        // actions of bounded number taken so far
}

// timing is how fast a world goes; each advance is one step.
type timing struct {
	step, beat, suspect, grace time.Duration
}

// coarse has one heartbeat per step, which keeps the search small.
var coarse = timing{step: unit, beat: unit, suspect: 3 * unit, grace: 4 * unit}

type owner struct {
	shard int
	epoch uint64
}

type entry struct {
	node   int
	life   int
	up     bool
	frozen bool
	g      *group.Group
	read   int
	lose   string // what befalls the next append: "", "effect" or "nothing"
	table  map[int]*work
	recovs map[int]*recov.Recovery
	owned  map[int]group.Gain

	releases []recov.Release
}

type work struct {
	epoch uint64
	sent  bool
	tried []ident.Ident
}

type agent struct {
	node   int
	life   int
	fence  *fence.Fence
	ledger *ledger.Ledger
	hold   int // node of the entry whose next answer is delayed, or -1
}

type job struct {
	shard  int
	issued time.Time
	starts int
	epoch  uint64 // of the latest start
}

type message struct {
	from, to       int
	sender, target string // incarnations
	job            int    // a start, or -1
	epoch          uint64
	stamp          time.Time // an answer to an agent's heartbeat
	version        int64
}

func newWorld(f flaw, at timing, shards, entries, agents, jobs int) *world {
	w := &world{
		flaw: f, timing: at, shards: shards, now: time.Unix(1_000_000, 0), cuts: map[[2]int]bool{}, served: map[int]uint64{}, owners: map[owner]string{},
		used: map[string]int{},
	}
	for range entries {
		w.addEntry()
	}
	for range agents {
		w.addAgent()
	}
	for range jobs {
		w.jobs = append(w.jobs, &job{})
	}
	return w
}

func (e *entry) self() member.Member {
	name := string(rune('a' + e.node))
	return member.Member{Name: name, Incarnation: fmt.Sprintf("%s%d", name, e.life), Control: name + ":1", Bulk: name + ":2", HTTP: name + ":3"}
}

func (x *agent) ident() ident.Ident {
	name := string(rune('x' + x.node - agentsAt))
	return ident.Ident{Name: name, Incarnation: fmt.Sprintf("%s%d", name, x.life)}
}

func (w *world) boot(e *entry) {
	e.life++
	e.up, e.frozen, e.read, e.lose = true, false, w.dropped, ""
	cfg := group.Config{Self: e.self(), Shards: w.shards, HeartbeatInterval: w.timing.beat, Suspect: w.timing.suspect, Grace: w.timing.grace, Lifetime: time.Hour}
	if w.flaw == noGrace {
		cfg.Grace = 1
	}
	e.g = group.New(cfg)
	e.table, e.recovs, e.owned = map[int]*work{}, map[int]*recov.Recovery{}, map[int]group.Gain{}
	e.releases = nil
}

func (w *world) addEntry() {
	e := &entry{node: len(w.entries)}
	w.entries = append(w.entries, e)
	w.boot(e)
}

func (w *world) addAgent() {
	x := &agent{node: agentsAt + len(w.agents)}
	w.agents = append(w.agents, x)
	w.bootAgent(x)
}

func (w *world) bootAgent(x *agent) {
	if w.flaw != noIncarnation || x.life == 0 {
		x.life++
	}
	x.fence, x.hold = fence.New(w.timing.grace), -1
	x.ledger = ledger.New(ledger.Config{Since: w.now, Margin: time.Hour})
}

func (w *world) cut(from, to int) bool { return w.cuts[[2]int{from, to}] }

func (w *world) joined(a, b int) bool { return !w.cut(a, b) && !w.cut(b, a) }

func (w *world) runs(e *entry) bool { return e.up && !e.frozen }

func (w *world) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// advance lets one step pass.
func (w *world) advance() {
	w.now = w.now.Add(w.timing.step)
	var sends []group.Send
	for _, e := range w.entries {
		if w.runs(e) {
			sends = append(sends, w.tick(e)...)
		}
	}
	for _, s := range sends {
		w.deliverBeat(s)
	}
	for _, x := range w.agents {
		w.heartbeat(x)
	}
	for _, e := range w.entries {
		if w.runs(e) {
			w.recover(e)
		}
	}
}

func (w *world) tick(e *entry) []group.Send {
	if w.joined(e.node, logNode) {
		for ; e.read < len(w.log); e.read++ {
			if err := e.g.ReadRecord(w.now, int64(e.read+1), w.log[e.read]); err != nil {
				w.fail("read: %v", err)
			}
		}
		if e.g.State() == "reading" {
			e.g.CaughtUp(w.now)
		}
		e.g.ReachedEnd()
	}
	out := e.g.Tick(w.now, w.id)
	if out.Append != nil {
		w.append(e, out.Append)
	}
	for _, to := range out.RosterRequests {
		if p := w.entry(to); p != nil && w.runs(p) && w.joined(e.node, p.node) {
			e.g.HandleRoster(w.now, p.g.Roster())
		}
	}
	return out.Heartbeats
}

func (w *world) id() string {
	w.ids++
	return fmt.Sprint("r", w.ids)
}

func (w *world) append(e *entry, a *group.Append) {
	if w.flaw == noOpen {
		a = &group.Append{ID: a.ID, Record: forgetful(a.Record)}
	}
	effect := e.lose != "nothing" && !w.cut(e.node, logNode)
	if effect {
		w.log = append(w.log, a.Record)
	}
	if e.lose != "" || !effect || w.cut(logNode, e.node) {
		e.g.AppendLost(a.ID)
	}
	e.lose = ""
}

// forgetful drops all earlier maps but the last from a record.
func forgetful(record []byte) []byte {
	var doc map[string]any
	if err := json.Unmarshal(record, &doc); err != nil {
		panic(err)
	}
	if open, ok := doc["open"].([]any); ok {
		doc["open"] = open[len(open)-1:]
	}
	record, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return record
}

func (w *world) entry(who member.Member) *entry {
	for _, e := range w.entries {
		if e.up && e.self() == who {
			return e
		}
	}
	return nil
}

func (w *world) deliverBeat(s group.Send) {
	from, to := w.entry(s.Heartbeat.From), w.entry(s.To)
	if from == nil || to == nil || !w.runs(to) || w.cut(from.node, to.node) {
		return
	}
	if to.g.HandleHeartbeat(w.now, s.Heartbeat) && w.joined(from.node, to.node) {
		to.g.AdoptFromPeer(w.now, from.g.Map())
	}
}

// heartbeat sends an agent's stamp to each entry, which answers with the version that it carries.
func (w *world) heartbeat(x *agent) {
	for _, e := range w.entries {
		if !w.runs(e) || w.cut(x.node, e.node) {
			continue
		}
		e.g.NoteAgent(w.now, x.ident())
		m := message{from: e.node, to: x.node, sender: e.self().Incarnation, target: x.ident().Incarnation, job: -1, stamp: w.now, version: e.g.Version()}
		if x.hold == e.node {
			x.hold = -1
			w.held = append(w.held, m)
			continue
		}
		if !w.cut(e.node, x.node) {
			w.answer(x, m)
		}
	}
}

func (w *world) answer(x *agent, m message) {
	e := w.entries[m.from]
	if w.flaw == noStamp {
		m.stamp = w.now
	}
	who := ident.Ident{Name: e.self().Name, Incarnation: m.sender}
	if w.flaw == noIdentity && x.fence.Map() != nil {
		if one, ok := x.fence.Map().Find(who.Name); ok {
			who = one.Ident()
		}
	}
	if x.fence.AddAnswer(w.now, who, m.version, m.stamp) && w.runs(e) && w.joined(e.node, x.node) {
		x.fence.Adopt(e.g.Map())
		x.fence.AddAnswer(w.now, who, m.version, m.stamp)
	}
}

// deliver hands over a held message; it may stay for a second delivery.
func (w *world) deliver(i int, keep bool) {
	m := w.held[i]
	if !keep {
		w.held = append(append([]message(nil), w.held[:i]...), w.held[i+1:]...)
	}
	x := w.agents[m.to-agentsAt]
	if m.target != x.ident().Incarnation {
		return
	}
	if m.job < 0 {
		w.answer(x, m)
		return
	}
	w.start(x, m)
}

// start is what an agent does with a start: fence, ledger, target.
func (w *world) start(x *agent, m message) {
	j := w.jobs[m.job]
	key := ledger.Key{Team: team, ID: fmt.Sprint(m.job)}
	deadline := w.now.Add(time.Hour)
	if w.flaw == noMajority && x.fence.Map() != nil {
		for _, who := range x.fence.Map().Idents() {
			x.fence.AddAnswer(w.now, who, x.fence.Version(), w.now)
		}
	}
	epoch, sender := m.epoch, m.sender
	if w.flaw == noEpoch && x.fence.Map() != nil {
		epoch, sender = x.fence.Map().Epoch(j.shard), x.fence.Map().Owner(j.shard).Incarnation
	}
	if x.fence.Admit(w.now, j.shard, epoch, sender) != nil {
		if w.flaw == noRefusal || x.ledger.Refuse(w.now, key, j.shard, ledger.Digest{}, deadline) == nil {
			w.refused(x, m)
		}
		return
	}
	if w.flaw == noLedger {
		x.ledger = ledger.New(ledger.Config{Margin: time.Hour})
	}
	if x.ledger.Start(w.now, key, j.shard, ledger.Digest{}, deadline) == nil {
		j.starts++
		j.epoch = m.epoch
	}
}

// refused tells the owner that it may place the task elsewhere.
func (w *world) refused(x *agent, m message) {
	e := w.entries[m.from]
	if !w.runs(e) || e.self().Incarnation != m.sender || w.cut(x.node, e.node) {
		return
	}
	if at := e.table[m.job]; at != nil && at.epoch == m.epoch {
		at.sent = false
	}
}
