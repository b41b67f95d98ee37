package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/route"
	"persimmonstage/core/runs"
)

// The schedulers of two entries and the run tables of three agents are stepped together on a simulated clock: targets lose
// answers, execute starts late or leave all orders unanswered for a while; links are cut one way or both ways; processes are killed
// or frozen, and read what arrived meanwhile in order; an entry sends the orders of several steps in one frame. Callers leave early,
// and resubmit a job 1.3 s after a failure. No task may run twice at the same time.
var repeatSeeds = flag.Int("repeat-seeds", 150, "sequences of repeatable jobs")

const (
	repeatSpan        = 12 * time.Second
	repeatLatency     = time.Millisecond
	repeatLinkTimeout = 450 * time.Millisecond
	repeatResend      = 1300 * time.Millisecond
	repeatWait        = 4 * time.Second
)

// repeatWorld holds the simulated clock, the targets and the processes.
type repeatWorld struct {
	timeline
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	entries []*repeatEntry
	agents  []*repeatAgent
	running map[string]int
	starts  int
	done    int
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
	case 0:
		e.freeze(until)
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
	case 6:
		a.freeze(until)
	case 7:
		a.ordersLateUntil = until
	}
}

func newRepeatWorld(t *testing.T, seed uint64) *repeatWorld {
	w := &repeatWorld{
		timeline: newTimeline(), t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), running: map[string]int{},
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
	w.runFor(repeatSpan)
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
