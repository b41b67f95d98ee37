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
	sequenceSteps  = 120 // at most
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

// event is one random occurrence; its arguments are taken from one number.
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
		return agentsAt + n - len(w.entries)
	}
	return logNode
}

func events() []event {
	return []event{
		{weight: 38, apply: func(w *world, _ int) { w.advance() }},
		{weight: 14, apply: func(w *world, n int) { w.submit(n%sequenceJobs, w.anyEntry(n/sequenceJobs)) }},
		{weight: 14, apply: sendSome},
		{weight: 12, apply: func(w *world, n int) { w.deliverSome(n, false) }},
		{weight: 3, apply: func(w *world, n int) { w.deliverSome(n, true) }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).up = false }},
		{weight: 3, apply: func(w *world, n int) { w.boot(w.anyEntry(n)) }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).frozen = true }},
		{weight: 2, apply: func(w *world, n int) { w.anyEntry(n).frozen = false }},
		{weight: 2, apply: func(w *world, n int) { w.cuts[[2]int{w.anyNode(n), w.anyNode(n / 7)}] = true }},
		{weight: 1, apply: func(w *world, n int) { isolate(n % 3).apply(w) }},
		{weight: 2, apply: func(w *world, _ int) { w.cuts = map[[2]int]bool{} }},
		{weight: 1, apply: func(w *world, n int) { w.bootAgent(w.anyAgent(n)) }},
		{weight: 1, apply: func(w *world, n int) { w.anyAgent(n).hold = n / 3 % 3 }},
		{weight: 1, apply: func(w *world, n int) { w.anyEntry(n).lose = []string{"effect", "nothing"}[n/3%2] }},
		{weight: 1, apply: func(w *world, n int) { w.leave(w.anyEntry(n)) }},
		{weight: 1, apply: func(w *world, n int) { w.retire(w.anyEntry(n), w.anyEntry(n/3)) }},
	}
}

// sendSome lets one owner send an accepted job that isn't on its way.
func sendSome(w *world, n int) {
	for i := range sequenceJobs {
		for _, e := range w.entries {
			if at := e.table[(i+n)%sequenceJobs]; w.runs(e) && at != nil && !at.sent {
				w.send((i+n)%sequenceJobs, e, w.anyAgent(n/sequenceJobs))
				return
			}
		}
	}
}

func (w *world) deliverSome(n int, keep bool) {
	if len(w.held) == 0 {
		return
	}
	if m := w.held[n%len(w.held)]; !w.cut(m.from, m.to) {
		w.deliver(n%len(w.held), keep)
	}
}

func (w *world) leave(e *entry) {
	if w.runs(e) {
		e.g.Leave()
	}
}

// retire is an operator who tells the truth.
func (w *world) retire(e, dead *entry) {
	if w.runs(e) && !dead.up {
		e.g.Retire(dead.self().Name)
	}
}

// play runs one sequence until something goes wrong; its first number gives the number of entries and shards.
func play(t require.TestingT, f flaw, sequence []int) *world {
	size := sequence[0]
	w := settled(t, f, 2+size/4%3, 1+size%4, 3, sequenceJobs)
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

// settle ends all faults and requires that every entry becomes a member and every shard is served or at least fenced: nothing
// is stuck.
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
			require.True(t, e.recovs[shard].Fenced(), "shard %d of %s", shard, e.self().Incarnation)
			require.True(t, e.g.Holds(w.now, shard), "shard %d of %s", shard, e.self().Incarnation)
		}
	}
	require.Equal(t, w.shards, owned)
}

func sequences() *rapid.Generator[[]int] {
	return rapid.SliceOfN(rapid.IntRange(0, 1<<20), sequenceSteps/2, sequenceSteps)
}

// TestSequences plays random sequences of faults; the targets' own count of starts is the judge.
func TestSequences(t *testing.T) {
	starts, maps, verdicts := 0, 0, map[recov.Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := play(rt, sound, sequences().Draw(rt, "sequence"))
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
	t.Logf("%d starts, %d map records, verdicts: %d fresh, %d found, %d wait, %d unknown", starts, maps,
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
	for _, f := range []flaw{noLedger, noEpoch, noAsking, noIncarnation} {
		t.Run(f.String(), func(t *testing.T) {
			for seed := range flawSequences {
				if w := play(t, f, sequences().Example(seed)); len(w.errs) > 0 {
					t.Logf("sequence %d: %v", seed, w.errs)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
