package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/evac"
	"persimmonstage/core/runs"
)

const (
	// evacuationPeriod is the time between two requests of the operators, each of which evacuates a data centre or takes that back.
	evacuationPeriod = 1500 * time.Millisecond
	// maxRequestDelay bounds the time after which an entry reads a request, unless the store turns it away for storeAway.
	maxRequestDelay = time.Second
	storeAway       = 4 * time.Second
	// askPeriod is the time between two requests to agents to read for an entry that the store turns away (core/relay asks more of them).
	askPeriod = 200 * time.Millisecond
	// evacuationTime is how long after the request a target may still be started at, and knownTime how long after its agent's process was
	// told: an agent that is frozen while it repeats a start makes no call after the lease.
	evacuationTime = 5 * time.Second
	knownTime      = runs.Lease
)

// operators are the operators' requests about data centres and when each that stands was made.
type operators struct {
	log   []evac.Mark
	since map[string]time.Time
	away  map[*repeatEntry]time.Time // until when the store turns an entry away
	rng   *rand.Rand
}

// read has an entry's process read the requests unless the store turns it away.
func (o *operators) read(e *repeatEntry) {
	if e.w.now.After(o.away[e]) {
		e.take(o.log)
	}
}

// ask has an agent read the requests for an entry that the store turns away.
func (o *operators) ask(e *repeatEntry) {
	a := e.w.agents[o.rng.IntN(len(e.w.agents))]
	l := e.links[a.name]
	if l == nil || !e.alive() || e.frozen() || e.w.now.After(o.away[e]) {
		return
	}
	e.sendOver(l, func() {
		a.take(o.log)
		marks, _ := a.evacuations.After(0)
		a.sendOver(l, func() { e.take(marks) })
	})
}

// take merges marks into the table of an entry's process.
func (e *repeatEntry) take(marks []evac.Mark) {
	for _, m := range marks {
		if changed, _ := e.evacuations.Set(m); changed {
			e.sched.EvacuationsChanged(e.w.now)
		}
	}
}

// take merges marks into the table of an agent's process.
func (a *repeatAgent) take(marks []evac.Mark) {
	for _, m := range marks {
		if changed, _ := a.evacuations.Set(m); changed {
			a.evacuatedAt = a.w.now
			a.runs.EvacuationsChanged(a.w.now)
		}
	}
}

// evacuate has the operators make requests, which the entries read from the store unless it turns them away.
func (w *repeatWorld) evacuate() {
	rng := rand.New(rand.NewPCG(w.seed, 54))
	w.operators.rng = rng
	w.operators.since, w.operators.away = map[string]time.Time{}, map[*repeatEntry]time.Time{}
	w.every(evacuationPeriod, func() {
		name := w.agents[rng.IntN(len(w.agents))].target.self.DataCentre
		since := w.operators.since
		m := evac.Mark{DataCentre: name, Offset: int64(len(w.operators.log)), Evacuated: since[name].IsZero()}
		delete(since, name)
		if m.Evacuated {
			since[name] = w.now
		}
		w.operators.log = append(w.operators.log, m)
		if rng.IntN(3) == 0 {
			w.operators.away[w.entries[rng.IntN(len(w.entries))]] = w.now.Add(storeAway)
		}
	})
	for _, e := range w.entries {
		w.every(askPeriod, func() { w.operators.ask(e) })
		w.after(time.Duration(rng.Int64N(int64(maxRequestDelay))), func() {
			w.every(maxRequestDelay, func() {
				e.whenRunning(nil, func() { w.operators.read(e) })
			})
		})
	}
}

// checkEvacuation checks a start that the target of an agent has just carried out in a data centre.
func (w *repeatWorld) checkEvacuation(a *repeatAgent, name, task string) {
	at := w.now.Sub(time.Unix(1000, 0))
	if since := w.operators.since[name]; !since.IsZero() {
		require.LessOrEqual(w.t, w.now.Sub(since), evacuationTime, "seed %d: EVAC: %s starts at %s", w.seed, task, at)
	}
	if a.evacuations.Holds(name) {
		require.LessOrEqual(w.t, w.now.Sub(a.evacuatedAt), knownTime, "seed %d: EVAC: %s starts at %s, known to the agent", w.seed, task, at)
	}
}

// TestNothingStartsInAnEvacuatedDataCentre guards against starts by entries and agents that were frozen, killed, cut off from each other or
// turned away by the store when a data centre was evacuated.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) { searchEvacuations(t, false) }

// TestNoCancelledJobStartsBesideEvacuations guards against cancelled jobs that go on waiting for an evacuated target at an entry which
// hasn't read of the cancelling.
func TestNoCancelledJobStartsBesideEvacuations(t *testing.T) { searchEvacuations(t, true) }

func searchEvacuations(t *testing.T, cancels bool) {
	t.Helper()
	starts := 0
	for i := range uint64(*repeatSeeds) {
		w := newRepeatWorld(t, *repeatFrom+i)
		w.neverCancel = !cancels
		w.evacuate()
		w.run()
		starts += w.starts
	}
	t.Logf("%d sequences: %d starts", *repeatSeeds, starts)
	require.Greater(t, starts, 10**repeatSeeds)
}
