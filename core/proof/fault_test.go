package proof

// scenario is an initial state, the faults that may then occur at any time, and the flaws with which a guarantee must be violated.
type scenario struct {
	name    string
	shards  int // 0 means 2
	setup   func(w *world)
	faults  []action
	submits int
	depth   int // actions per history in CI
	release bool
	flaws   []flaw
}

// Unless the setup changes it, entry 0 owns the shard of job 0, and entry 2 owns no shard and takes over.
func scenarios() []scenario {
	return []scenario{
		{
			name: "doubled and delayed starts", submits: 2, depth: 8, flaws: []flaw{noLedger, noRefusal},
			faults: []action{duplicate(), restartAgent(0), freeze(0), resume(0)},
		},
		{
			name: "frozen owner resumes", submits: 2, depth: 9, flaws: []flaw{noEpoch},
			setup: func(w *world) {
				w.submit(0, w.entries[0])
				w.send(0, w.entries[0], w.agents[0])
				w.entries[0].frozen = true
				w.run(6)
			},
			faults: []action{resume(0), delayAnswer(0, 1), restartAgent(1)},
		},
		{
			name: "owner cut off with one agent", submits: 2, depth: 9, flaws: []flaw{noGrace, noFence},
			setup: func(w *world) {
				isolateEntry(0).apply(w)
				w.run(3)
			},
			faults: []action{isolateAgent(0, 1, 2), heal()},
		},
		{
			name: "owner cut off for long with one agent", submits: 2, depth: 8, flaws: []flaw{noMajority},
			setup: func(w *world) {
				isolateEntry(0).apply(w)
				w.run(3)
				isolateAgent(0, 1, 2).apply(w)
				w.run(6)
			},
			faults: []action{heal(), restartAgent(1), kill(1)},
		},
		{
			name: "answer of a member delayed", submits: 2, depth: 9, flaws: []flaw{noStamp},
			setup: func(w *world) {
				isolateEntry(0).apply(w)
				w.run(1)
				delayAnswer(0, 1).apply(w)
				w.advance()
				isolateAgent(0, 1, 2).apply(w)
				w.run(6)
			},
			faults: []action{heal(), restartAgent(1)},
		},
		{
			name: "carrier left behind", submits: 2, depth: 9, flaws: []flaw{noSeal},
			setup: func(w *world) {
				isolateEntry(0).apply(w)
				cutLinks("carrier", append(bothWays(1, logNode), [2]int{2, 1})...).apply(w)
				isolateAgent(0, 2).apply(w)
				w.run(5)
			},
			faults: []action{heal(), kill(1)},
		},
		{
			name: "owner dies after a start", submits: 2, depth: 9, flaws: []flaw{noQuery},
			setup: func(w *world) {
				w.startJob(0)
				w.entries[0].up = false
				w.run(4)
			},
			faults: []action{restart(0), restartAgent(0), kill(1), restart(1)},
		},
		{
			name: "agent restarted after a start", submits: 2, depth: 10, flaws: []flaw{noIncarnation},
			setup: func(w *world) {
				w.startJob(0)
				w.entries[0].up = false
				w.bootAgent(w.agents[0])
				w.run(4)
			},
			faults: []action{restart(0), restartAgent(1), isolateAgent(1, 1, 2), heal()},
		},
		{
			name: "agent unknown to the new owner", submits: 1, depth: 11, flaws: []flaw{noRoster},
			setup: func(w *world) {
				isolateAgent(2, 2).apply(w)
				w.addAgent()
				w.run(3)
				w.startJob(2)
				w.entries[0].up = false
				w.run(4)
			},
			faults: []action{heal(), kill(1), restart(0)},
		},
		{
			name: "log answers lost", submits: 2, depth: 11,
			setup: func(w *world) {
				w.startJob(0)
				w.entries[0].up = false
				w.run(2)
			},
			faults: []action{failAppend(2, "effect"), failAppend(1, "nothing"), restart(0), restartAgent(0)},
		},
		{
			name: "one way cuts", submits: 2, depth: 8,
			faults: []action{
				cutLinks("0 to 1", [2]int{0, 1}), cutLinks("2 to 0", [2]int{2, 0}), cutLinks("0 to x", [2]int{0, firstAgentNode}),
				cutLinks("x to 2", [2]int{firstAgentNode, 2}),
			},
		},
		{
			name: "shards move to a joining entry", shards: 4, submits: 2, depth: 9, flaws: []flaw{noFence},
			setup: func(w *world) {
				w.entries[2].up = false
				w.run(12)
				gains := w.entries[1].g.Gains()
				w.jobs[0].shard = gains[len(gains)-1].Shard // the one that will move
				w.boot(w.entries[2])
				w.run(2)
			},
			faults: []action{isolateEntry(1), restartAgent(0)},
		},
		{
			name: "restarted entry answers under the map before", submits: 2, depth: 8, flaws: []flaw{noIdentity},
			setup: func(w *world) {
				w.boot(w.entries[1])
				w.entries[1].appendFault = "nothing"
				w.run(1)
				cutLinks("restarted entry from the log", bothWays(1, logNode)...).apply(w)
				w.run(2)
				w.partition([]int{0, 1, firstAgentNode}, []int{2, firstAgentNode + 1, logNode})
				w.cuts[[2]int{1, 2}] = false
				w.run(8)
			},
			faults: []action{heal(), restartAgent(1)},
		},
		{
			name: "majority stays with an earlier map", shards: 4, submits: 2, depth: 7, flaws: []flaw{noUnsealed},
			setup: func(w *world) {
				w.addEntry()
				w.run(2)
				w.partition([]int{0, 1, firstAgentNode}, []int{2, 3, firstAgentNode + 1, logNode})
				w.run(12)
			},
			faults: []action{restart(3), kill(1), restartAgent(1)},
		},
		{
			name: "owner leaves", submits: 2, depth: 8, release: true,
			setup:  func(w *world) { w.entries[0].g.Leave() },
			faults: []action{freeze(0), resume(0), kill(2), isolateAgent(0, 1, 2), duplicate()},
		},
	}
}

// startJob submits job 0 to entry 0 and delivers its start to an agent.
func (w *world) startJob(x int) {
	w.submit(0, w.entries[0])
	w.send(0, w.entries[0], w.agents[x])
	w.deliver(len(w.inFlight)-1, false)
}

// partition cuts every link between two sides.
func (w *world) partition(one, other []int) {
	for _, a := range one {
		for _, b := range other {
			w.cuts[[2]int{a, b}], w.cuts[[2]int{b, a}] = true, true
		}
	}
}

// isolateEntry cuts an entry off from the other entries and the log, but not from the agents.
func isolateEntry(e int) action {
	pairs := bothWays(e, logNode)
	for o := range 3 {
		if o != e {
			pairs = append(pairs, bothWays(e, o)...)
		}
	}
	return cutLinks("entry from entries and log", pairs...)
}

// isolateAgent cuts an agent off from some entries.
func isolateAgent(x int, entries ...int) action {
	var pairs [][2]int
	for _, e := range entries {
		pairs = append(pairs, bothWays(firstAgentNode+x, e)...)
	}
	return cutLinks("agent from entries", pairs...)
}
