package proof

// A world is a few entries, agents and a log, stepped without real time: the cores are the real ones, and the code here only
// replaces the network code. A flaw disables one mechanism by false input to a core, so that the cores need no test switches.

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
	coarseStep     = time.Second
	logNode        = 100
	firstAgentNode = 10 // node number of the first agent
	team           = "senandung"
	maxVersion     = 1 << 40 // higher than any version
)

type flaw int

const (
	sound         flaw = iota
	noMajority         // an agent counts every member as having answered
	noStamp            // an answer counts from its arrival, not from the stamp that it returns
	noGrace            // a new owner doesn't wait for the grace
	noSeal             // a new owner doesn't wait for a seal quorum
	noQuery            // a new owner doesn't query the agents
	noLedger           // an agent doesn't record starts
	noRefusal          // an agent doesn't record refusals
	noEpoch            // an agent admits any sender
	noFence            // a new owner takes the time of the map's record as the time since which no earlier owner is admitted
	noRoster           // a new owner queries only the agents that it knows itself
	noUnsealed         // a map lists only its direct predecessor
	noIdentity         // an agent takes any process that answers at a member's address for that member
	noIncarnation      // a restarted agent keeps its incarnation
)

type world struct {
	flaw        flaw
	timing      timing
	shards      int
	now         time.Time
	log         [][]byte
	dropped     int // records that the log has dropped
	ids         int
	entries     []*entry
	agents      []*agent
	jobs        []*job
	cuts        map[[2]int]bool
	inFlight    []message
	servedEpoch map[int]uint64 // highest epoch under which a job of the shard was reported as never started
	owners      map[tenure]string
	errs        []string

	verdicts map[recov.Verdict]int // how often each was returned, counted only if not nil
	taken    map[string]int        // how often each limited action was taken
}

// timing holds the intervals of a world; each advance takes one step.
type timing struct {
	step, heartbeat, suspect, grace time.Duration
}

// coarse has one heartbeat per step, which keeps the search small.
var coarse = timing{step: coarseStep, heartbeat: coarseStep, suspect: 3 * coarseStep, grace: 4 * coarseStep}

type tenure struct {
	shard int
	epoch uint64
}

type entry struct {
	node        int
	life        int
	up          bool
	frozen      bool
	g           *group.Group
	nextRecord  int
	appendFault string // loses the answer to the next append, which has an "effect" or does "nothing"; "" loses none
	assignments map[int]*assignment
	recoveries  map[int]*recov.Recovery
	owned       map[int]group.Gain

	releases []recov.Release
}

type assignment struct {
	epoch  uint64
	sent   bool
	agents []ident.Ident
}

type agent struct {
	node      int
	life      int
	fence     *fence.Fence
	ledger    *ledger.Ledger
	delayFrom int // node of the entry whose next answer is delayed, or -1
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
		flaw: f, timing: at, shards: shards, now: time.Unix(1_000_000, 0), cuts: map[[2]int]bool{}, servedEpoch: map[int]uint64{}, owners: map[tenure]string{},
		taken: map[string]int{},
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
	name := string(rune('x' + x.node - firstAgentNode))
	return ident.Ident{Name: name, Incarnation: fmt.Sprintf("%s%d", name, x.life)}
}

func (w *world) boot(e *entry) {
	e.life++
	e.up, e.frozen, e.nextRecord, e.appendFault = true, false, w.dropped, ""
	cfg := group.Config{Self: e.self(), Shards: w.shards, HeartbeatInterval: w.timing.heartbeat, Suspect: w.timing.suspect, Grace: w.timing.grace, Lifetime: time.Hour}
	if w.flaw == noGrace {
		cfg.Grace = 1
	}
	e.g = group.New(cfg)
	e.assignments, e.recoveries, e.owned = map[int]*assignment{}, map[int]*recov.Recovery{}, map[int]group.Gain{}
	e.releases = nil
}

func (w *world) addEntry() {
	e := &entry{node: len(w.entries)}
	w.entries = append(w.entries, e)
	w.boot(e)
}

func (w *world) addAgent() {
	x := &agent{node: firstAgentNode + len(w.agents)}
	w.agents = append(w.agents, x)
	w.bootAgent(x)
}

func (w *world) bootAgent(x *agent) {
	if w.flaw != noIncarnation || x.life == 0 {
		x.life++
	}
	x.fence, x.delayFrom = fence.New(w.timing.grace), -1
	x.ledger = ledger.New(ledger.Config{Since: w.now, Margin: time.Hour})
}

func (w *world) cut(from, to int) bool { return w.cuts[[2]int{from, to}] }

func (w *world) connected(a, b int) bool { return !w.cut(a, b) && !w.cut(b, a) }

func (w *world) running(e *entry) bool { return e.up && !e.frozen }

func (w *world) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// advance moves the clock by one step.
func (w *world) advance() {
	w.now = w.now.Add(w.timing.step)
	var sends []group.Send
	for _, e := range w.entries {
		if w.running(e) {
			sends = append(sends, w.tick(e)...)
		}
	}
	for _, s := range sends {
		w.deliverHeartbeat(s)
	}
	for _, x := range w.agents {
		w.sendAgentHeartbeats(x)
	}
	for _, e := range w.entries {
		if w.running(e) {
			w.updateRecoveries(e)
		}
	}
}

func (w *world) tick(e *entry) []group.Send {
	if w.connected(e.node, logNode) {
		for ; e.nextRecord < len(w.log); e.nextRecord++ {
			if err := e.g.ReadRecord(w.now, int64(e.nextRecord+1), w.log[e.nextRecord]); err != nil {
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
		if p := w.entry(to); p != nil && w.running(p) && w.connected(e.node, p.node) {
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
	if w.flaw == noUnsealed {
		a = &group.Append{ID: a.ID, Record: keepLastUnsealed(a.Record)}
	}
	effect := e.appendFault != "nothing" && !w.cut(e.node, logNode)
	if effect {
		w.log = append(w.log, a.Record)
	}
	if e.appendFault != "" || !effect || w.cut(logNode, e.node) {
		e.g.AppendLost(a.ID)
	}
	e.appendFault = ""
}

// keepLastUnsealed drops all earlier maps except the latest from a record.
func keepLastUnsealed(record []byte) []byte {
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

func (w *world) deliverHeartbeat(s group.Send) {
	from, to := w.entry(s.Heartbeat.From), w.entry(s.To)
	if from == nil || to == nil || !w.running(to) || w.cut(from.node, to.node) {
		return
	}
	if to.g.HandleHeartbeat(w.now, s.Heartbeat) && w.connected(from.node, to.node) {
		to.g.AdoptFromPeer(w.now, from.g.Map())
	}
}

// sendAgentHeartbeats sends an agent's stamp to each entry, which answers with its map version.
func (w *world) sendAgentHeartbeats(x *agent) {
	for _, e := range w.entries {
		if !w.running(e) || w.cut(x.node, e.node) {
			continue
		}
		e.g.NoteAgent(w.now, x.ident())
		m := message{from: e.node, to: x.node, sender: e.self().Incarnation, target: x.ident().Incarnation, job: -1, stamp: w.now, version: e.g.Version()}
		if x.delayFrom == e.node {
			x.delayFrom = -1
			w.inFlight = append(w.inFlight, m)
			continue
		}
		if !w.cut(e.node, x.node) {
			w.handleAnswer(x, m)
		}
	}
}

func (w *world) handleAnswer(x *agent, m message) {
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
	if x.fence.AddAnswer(w.now, who, m.version, m.stamp) && w.running(e) && w.connected(e.node, x.node) {
		x.fence.Adopt(e.g.Map())
		x.fence.AddAnswer(w.now, who, m.version, m.stamp)
	}
}

// deliver delivers a message in flight; with keep, a copy stays in flight.
func (w *world) deliver(i int, keep bool) {
	m := w.inFlight[i]
	if !keep {
		w.inFlight = append(append([]message(nil), w.inFlight[:i]...), w.inFlight[i+1:]...)
	}
	x := w.agents[m.to-firstAgentNode]
	if m.target != x.ident().Incarnation {
		return
	}
	if m.job < 0 {
		w.handleAnswer(x, m)
		return
	}
	w.handleStart(x, m)
}

// handleStart checks a start against the fence and the ledger, as an agent does, and counts the start at the target.
func (w *world) handleStart(x *agent, m message) {
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
			w.handleRefusal(x, m)
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

// handleRefusal reports a refusal to the owner, which may then place the task elsewhere.
func (w *world) handleRefusal(x *agent, m message) {
	e := w.entries[m.from]
	if !w.running(e) || e.self().Incarnation != m.sender || w.cut(x.node, e.node) {
		return
	}
	if at := e.assignments[m.job]; at != nil && at.epoch == m.epoch {
		at.sent = false
	}
}
