package proof

// scenario is a beginning, the faults that may then come at any moment, and the mechanisms without which a promise is broken.
type scenario struct {
	name    string
	shards  int // if other than 2
	setup   func(w *world)
	faults  []action
	submits int
	depth   int // actions in CI
	release bool
	breaks  []flaw
}

// Unless a setup says otherwise, entry 0 owns the shard of job 0, and entry 2 owns no shard and is the one to take over.
func scenarios() []scenario {
	return []scenario{
		{
			name: "doubled and delayed starts", submits: 2, depth: 8, breaks: []flaw{noLedger, noRefusal},
			faults: []action{duplicate(), restartAgent(0), freeze(0), resume(0)},
		},
		{
			name: "frozen owner resumes", submits: 2, depth: 9, breaks: []flaw{noEpoch},
			setup: func(w *world) {
				w.submit(0, w.entries[0])
				w.send(0, w.entries[0], w.agents[0])
				w.entries[0].frozen = true
				w.run(6)
			},
			faults: []action{resume(0), delay(0, 1), restartAgent(1)},
		},
		{
			name: "owner cut off with one agent", submits: 2, depth: 9, breaks: []flaw{noGrace, noFence},
			setup: func(w *world) {
				isolate(0).apply(w)
				w.run(3)
			},
			faults: []action{apart(0, 1, 2), heal()},
		},
		{
			name: "owner cut off for long with one agent", submits: 2, depth: 8, breaks: []flaw{noMajority},
			setup: func(w *world) {
				isolate(0).apply(w)
				w.run(3)
				apart(0, 1, 2).apply(w)
				w.run(6)
			},
			faults: []action{heal(), restartAgent(1), kill(1)},
		},
		{
			name: "answer of a member delayed", submits: 2, depth: 9, breaks: []flaw{noStamp},
			setup: func(w *world) {
				isolate(0).apply(w)
				w.run(1)
				delay(0, 1).apply(w)
				w.advance()
				apart(0, 1, 2).apply(w)
				w.run(6)
			},
			faults: []action{heal(), restartAgent(1)},
		},
		{
			name: "carrier left behind", submits: 2, depth: 9, breaks: []flaw{noSeal},
			setup: func(w *world) {
				isolate(0).apply(w)
				cutOff("carrier", append(both(1, logNode), [2]int{2, 1})...).apply(w)
				apart(0, 2).apply(w)
				w.run(5)
			},
			faults: []action{heal(), kill(1)},
		},
		{
			name: "owner dies after a start", submits: 2, depth: 9, breaks: []flaw{noAsking},
			setup: func(w *world) {
				w.begun(0)
				w.entries[0].up = false
				w.run(4)
			},
			faults: []action{restart(0), restartAgent(0), kill(1), restart(1)},
		},
		{
			name: "agent restarted after a start", submits: 2, depth: 10, breaks: []flaw{noIncarnation},
			setup: func(w *world) {
				w.begun(0)
				w.entries[0].up = false
				w.bootAgent(w.agents[0])
				w.run(4)
			},
			faults: []action{restart(0), restartAgent(1), apart(1, 1, 2), heal()},
		},
		{
			name: "agent unknown to the new owner", submits: 1, depth: 11, breaks: []flaw{noRoster},
			setup: func(w *world) {
				apart(2, 2).apply(w)
				w.addAgent()
				w.run(3)
				w.begun(2)
				w.entries[0].up = false
				w.run(4)
			},
			faults: []action{heal(), kill(1), restart(0)},
		},
		{
			name: "log answers lost", submits: 2, depth: 11,
			setup: func(w *world) {
				w.begun(0)
				w.entries[0].up = false
				w.run(2)
			},
			faults: []action{loseAppend(2, "effect"), loseAppend(1, "nothing"), restart(0), restartAgent(0)},
		},
		{
			name: "one way cuts", submits: 2, depth: 8,
			faults: []action{
				cutOff("0 to 1", [2]int{0, 1}), cutOff("2 to 0", [2]int{2, 0}), cutOff("0 to x", [2]int{0, agentsAt}),
				cutOff("x to 2", [2]int{agentsAt, 2}),
			},
		},
		{
			name: "shards move to a joining entry", shards: 4, submits: 2, depth: 9, breaks: []flaw{noFence},
			setup: func(w *world) {
				w.entries[2].up = false
				w.run(12)
				gains := w.entries[1].g.Gains()
				w.jobs[0].shard = gains[len(gains)-1].Shard // the one that will move
				w.boot(w.entries[2])
				w.run(2)
			},
			faults: []action{isolate(1), restartAgent(0)},
		},
		{
			name: "restarted entry answers under the map before", submits: 2, depth: 8, breaks: []flaw{noIdentity},
			setup: func(w *world) {
				w.boot(w.entries[1])
				w.entries[1].lose = "nothing"
				w.run(1)
				cutOff("restarted entry from the log", both(1, logNode)...).apply(w)
				w.run(2)
				w.split([]int{0, 1, agentsAt}, []int{2, agentsAt + 1, logNode})
				w.cuts[[2]int{1, 2}] = false
				w.run(8)
			},
			faults: []action{heal(), restartAgent(1)},
		},
		{
			name: "majority stays with an earlier map", shards: 4, submits: 2, depth: 7, breaks: []flaw{noOpen},
			setup: func(w *world) {
				w.addEntry()
				w.run(2)
				w.split([]int{0, 1, agentsAt}, []int{2, 3, agentsAt + 1, logNode})
				w.run(12)
			},
			faults: []action{restart(3), kill(1), restartAgent(1)},
		},
		{
			name: "owner leaves", submits: 2, depth: 8, release: true,
			setup:  func(w *world) { w.entries[0].g.Leave() },
			faults: []action{freeze(0), resume(0), kill(2), apart(0, 1, 2), duplicate()},
		},
	}
}

// begun lets the owner start job 0 at an agent.
func (w *world) begun(x int) {
	w.submit(0, w.entries[0])
	w.send(0, w.entries[0], w.agents[x])
	w.deliver(len(w.held)-1, false)
}

// split cuts every link between two sides.
func (w *world) split(one, other []int) {
	for _, a := range one {
		for _, b := range other {
			w.cuts[[2]int{a, b}], w.cuts[[2]int{b, a}] = true, true
		}
	}
}

// isolate cuts an entry off from the other entries and the log, though not from the agents.
func isolate(e int) action {
	pairs := both(e, logNode)
	for o := range 3 {
		if o != e {
			pairs = append(pairs, both(e, o)...)
		}
	}
	return cutOff("entry from entries and log", pairs...)
}

// apart cuts an agent off from some entries.
func apart(x int, entries ...int) action {
	var pairs [][2]int
	for _, e := range entries {
		pairs = append(pairs, both(agentsAt+x, e)...)
	}
	return cutOff("agent from entries", pairs...)
}
