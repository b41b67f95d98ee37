package proof

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/recov"
)

const (
	sequenceJobs   = 4
	sequenceSteps  = 120 // maximum
	flawSequences  = 300
	settleSteps    = 40
	defaultChecks  = "20" // sequences; the nightly command passes -rapid.checks=10000
	defaultSeed    = "1"
	weightsInTotal = 100
)

// TestMain seeds rapid, so that every run sees the same sequences unless the command line says otherwise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": defaultChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is one kind of random step; it derives its arguments from one number.
type event struct {
	weight int
	apply  func(w *world, n int)
}

func (w *world) anyEntry(n int) *entry { return w.entries[n%len(w.entries)] }

func (w *world) anyAgent(n int) *agent { return w.agents[n%len(w.agents)] }

// anyNode returns an entry, an agent or the log.
func (w *world) anyNode(n int) int {
	n %= len(w.entries) + len(w.agents) + 1
	switch {
	case n < len(w.entries):
		return n
	case n < len(w.entries)+len(w.agents):
		return firstAgentNode + n - len(w.entries)
	}
	return logNode
}

func events() []event {
	return []event{
		{weight: 38, apply: func(w *world, _ int) { w.advance() }},
		{weight: 14, apply: func(w *world, n int) { w.submit(n%sequenceJobs, w.anyEntry(n/sequenceJobs)) }},
		{weight: 14, apply: sendPending},
		{weight: 12, apply: func(w *world, n int) { w.deliverAny(n, false) }},
		{weight: 3, apply: func(w *world, n int) { w.deliverAny(n, true) }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).up = false }},
		{weight: 3, apply: func(w *world, n int) { w.boot(w.anyEntry(n)) }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).frozen = true }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).frozen = false }},
		{weight: 2, apply: func(w *world, n int) { w.cuts[[2]int{w.anyNode(n), w.anyNode(n / 7)}] = true }},
		{weight: 1, apply: func(w *world, n int) { isolateEntry(n % 3).apply(w) }},
		{weight: 2, apply: func(w *world, _ int) { w.cuts = map[[2]int]bool{} }},
		{weight: 1, apply: func(w *world, n int) { w.bootAgent(w.anyAgent(n)) }},
		{weight: 1, apply: func(w *world, n int) { w.anyAgent(n).delayFrom = n / 3 % 3 }},
		{weight: 1, apply: func(w *world, n int) { w.anyEntry(n).appendFault = []string{"effect", "nothing"}[n/3%2] }},
		{weight: 1, apply: func(w *world, n int) { w.leave(w.anyEntry(n)) }},
		{weight: 1, apply: func(w *world, n int) { w.retire(w.anyEntry(n), w.anyEntry(n/3)) }},
	}
}

// sendPending makes one owner send an accepted job that isn't in flight.
func sendPending(w *world, n int) {
	for i := range sequenceJobs {
		for _, e := range w.entries {
			if at := e.assignments[(i+n)%sequenceJobs]; w.running(e) && at != nil && !at.sent {
				w.send((i+n)%sequenceJobs, e, w.anyAgent(n/sequenceJobs))
				return
			}
		}
	}
}

func (w *world) deliverAny(n int, keep bool) {
	if len(w.inFlight) == 0 {
		return
	}
	if m := w.inFlight[n%len(w.inFlight)]; !w.cut(m.from, m.to) {
		w.deliver(n%len(w.inFlight), keep)
	}
}

func (w *world) leave(e *entry) {
	if w.running(e) {
		e.g.Leave()
	}
}

// retire is an operator that retires only entries that are really down.
func (w *world) retire(e, dead *entry) {
	if w.running(e) && !dead.up {
		e.g.Retire(dead.self().Name)
	}
}

// runSequence runs one sequence until a violation; its first number determines the numbers of entries and shards.
func runSequence(t require.TestingT, f flaw, sequence []int) *world {
	size := sequence[0]
	w := newSettledWorld(t, f, 2+size/4%3, 1+size%4, 3, sequenceJobs)
	w.errs, w.verdicts = nil, map[recov.Verdict]int{}
	for i := range w.jobs {
		w.jobs[i].shard = i % w.shards
	}
	table := events()
	for _, n := range sequence {
		kind := n % weightsInTotal
		for _, e := range table {
			if kind -= e.weight; kind < 0 {
				e.apply(w, n/weightsInTotal)
				break
			}
		}
		w.check()
		if len(w.errs) > 0 {
			return w
		}
	}
	return w
}

// settle ends all faults and requires that every entry becomes a member and that every shard is owned, held and fenced, so that no
// fault leaves anything stuck.
func (w *world) settle(t require.TestingT) {
	w.cuts = map[[2]int]bool{}
	for _, e := range w.entries {
		e.frozen = false
		if !e.up || e.g.Left() || e.g.State() == "leaving" {
			w.boot(e)
		}
	}
	w.run(settleSteps)
	require.Empty(t, w.errs)
	owned := 0
	for _, e := range w.entries {
		require.Equal(t, "member", e.g.State(), e.self().Incarnation)
		owned += len(e.owned)
		for shard := range e.owned {
			require.True(t, e.recoveries[shard].Fenced(), "shard %d of %s", shard, e.self().Incarnation)
			require.True(t, e.g.Holds(w.now, shard), "shard %d of %s", shard, e.self().Incarnation)
		}
	}
	require.Equal(t, w.shards, owned)
}

func sequences() *rapid.Generator[[]int] {
	return rapid.SliceOfN(rapid.IntRange(0, 1<<20), sequenceSteps/2, sequenceSteps)
}

// TestSequences runs random sequences of faults and checks them against the targets' own count of starts.
func TestSequences(t *testing.T) {
	starts, maps, verdicts := 0, 0, map[recov.Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := runSequence(rt, sound, sequences().Draw(rt, "sequence"))
		require.Empty(rt, w.errs)
		w.settle(rt)
		maps += len(w.log)
		for _, j := range w.jobs {
			starts += j.starts
		}
		for verdict, n := range w.verdicts {
			verdicts[verdict] += n
		}
	})
	t.Logf("%d starts, %d map records, verdicts: %d never started, %d found, %d wait, %d unknown", starts, maps,
		verdicts[recov.NeverStarted], verdicts[recov.Found], verdicts[recov.Wait], verdicts[recov.Unknown])
	require.NotZero(t, starts)
	require.NotZero(t, verdicts[recov.Found])
	require.NotZero(t, verdicts[recov.Unknown])
}

func TestEventWeights(t *testing.T) {
	sum := 0
	for _, e := range events() {
		sum += e.weight
	}
	require.Equal(t, weightsInTotal, sum)
}

// TestSequencesFindFlaws shows that random sequences find a second start where a mechanism is disabled.
func TestSequencesFindFlaws(t *testing.T) {
	for _, f := range []flaw{noLedger, noEpoch, noQuery, noIncarnation} {
		t.Run(f.String(), func(t *testing.T) {
			for seed := range flawSequences {
				if w := runSequence(t, f, sequences().Example(seed)); len(w.errs) > 0 {
					t.Logf("sequence %d: %v", seed, w.errs)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
