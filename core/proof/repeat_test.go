package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/route"
	"persimmonstage/core/runs"
)

// The schedulers of two entries and the run tables of three agents are stepped together on a simulated clock: targets lose
// answers, execute starts late or leave all orders unanswered for a while; links are cut one way or both ways; processes are killed
// or frozen, and read what arrived meanwhile over each connection in order, sometimes slowly; an entry sends the orders of several steps
// in one frame; an agent's hello and its answer are messages of a connection that may be reset between them, and many connections are
// reset at once. Callers leave early, and resubmit a job 1.3 s after a failure; if silentPaths is set, the paths to some of them are
// silent for a while or for good, so that their entries read the request or the end of the connection late or never. Targets crash and are back at once or later, under their id or another one, as another kind;
// they drain and leave; the path to them refuses connections or is silent while they go on; their processes stand still; announcements come late or from another
// writer, and an agent that starts again recalls the last one that was confirmed. No task may run twice at the same time, or where its
// label is missing, or start on a target long after its draining was acknowledged or its data centre was evacuated.
var (
	repeatSeeds = flag.Int("repeat-seeds", 150, "sequences of repeatable jobs")
	repeatFrom  = flag.Uint64("repeat-from", 0, "the first seed of these")
)

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
	labels  map[string]string // that jobs need
	// cancelled holds when the cancelling of a job was acknowledged.
	cancelled map[string]time.Time
	starts    int
	done      int
	lastRun   map[string]*repeatRun // by task
	operators operators
	gaps      *gapCount
	// silentPaths is whether the paths between callers and entries fall silent.
	silentPaths bool
	// tight has callers behind silent paths leave early, with deadlines as in production, tasks that run longer than declared, and few faults.
	tight bool
	// neverCancel is whether no caller cancels a job.
	neverCancel bool
}

var repeatRoute = &route.Route{Name: "q", Service: "s", MaxAttempts: 3, BaseObjective: 3 * time.Second, Stretch: 2}

const (
	// cancelTime is how long after the acknowledgement of its cancelling a job may still be started.
	cancelTime = 3 * time.Second
	// repeatAfter is the least time after which the request of a cancelled job arrives once more.
	repeatAfter = 3500 * time.Millisecond
)

// cancel has a caller cancel its job at the entry that has it; in half of the cases the job's request arrives once more seconds later.
func (w *repeatWorld) cancel(e *repeatEntry, id string, acked, repeat func()) {
	w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() {
		e.whenRunning(nil, func() {
			acked()
			e.cancelled.Add(w.now, id)
			e.sched.Withdraw(w.now, id)
			w.cancelled[id] = w.now
			if w.rng.IntN(2) == 0 {
				w.after(repeatAfter, repeat)
			}
		})
	})
}

// kinds are the labels of targets.
var kinds = []string{"a", "b"}

func (w *repeatWorld) kind() string { return kinds[w.rng.IntN(len(kinds))] }

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
	kind := w.rng.IntN(19)
	if w.tight {
		kind = tightFaults[w.rng.IntN(len(tightFaults))]
	}
	switch kind {
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
	case 8:
		a.restartTarget(until.Sub(w.now))
	case 9:
		a.refusedUntil = until
	case 10:
		a.silentUntil = until
	case 11:
		a.foreign()
	case 12:
		a.drainTarget()
	case 13: // a host without power: the target may be back before its agent
		a.restartTarget(until.Sub(w.now))
		a.freeze(until.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond))
		w.after(a.frozenUntil.Sub(w.now), func() { w.bootAgent(a) })
	case 14: // an entry decides on what it knew before
		e.freeze(until)
		a.restartTarget(until.Sub(w.now) / 2)
	case 15:
		w.resetLinks()
	case 16:
		a.slowUntil = until
	case 17: // what arrived meanwhile is read slowly
		e.freeze(until)
		e.slowUntil = until.Add(time.Second)
	case 18:
		a.stalledUntil = w.now.Add(until.Sub(w.now) / 5)
	}
}

func newRepeatWorld(t *testing.T, seed uint64) *repeatWorld {
	w := &repeatWorld{
		timeline: newTimeline(), t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), running: map[string]int{}, labels: map[string]string{},
		cancelled: map[string]time.Time{}, lastRun: map[string]*repeatRun{}, gaps: &gapCount{},
	}
	for i := range 2 {
		e := &repeatEntry{
			repeatHost: repeatHost{w: w}, name: fmt.Sprint("e", i),
			sendCutUntil: map[*repeatAgent]time.Time{}, receiveCutUntil: map[*repeatAgent]time.Time{},
		}
		w.entries = append(w.entries, e)
		w.bootEntry(e)
	}
	for i := range 3 {
		a := &repeatAgent{repeatHost: repeatHost{w: w}, name: fmt.Sprint("a", i)}
		a.target = newRepeatTarget(a, runs.Instance{
			ID: "i", Addr: a.name, Born: 1, Service: "s", DataCentre: fmt.Sprint("z", i), Millicores: 20_000, MemoryMB: 1000,
			Labels: []string{kinds[i%len(kinds)]},
		})
		w.agents = append(w.agents, a)
		w.bootAgent(a)
		a.announce()
		w.after(time.Duration(w.rng.Int64N(int64(announcePeriod))), func() { w.every(announcePeriod, a.announce) })
		a.regularly(identifyPeriod, a.identify)
		a.regularly(50*time.Millisecond, a.keep)
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
	period, faultPeriod := 70*time.Millisecond, 350*time.Millisecond
	if w.tight {
		period, faultPeriod = 300*time.Millisecond, 2500*time.Millisecond
	}
	w.every(period, func() {
		jobs++
		id := fmt.Sprintf("%016x", jobs)
		if w.rng.IntN(3) == 0 {
			w.labels[id] = w.kind()
		}
		if w.tight {
			w.submit(id, 1, time.Duration(600+w.rng.IntN(850))*time.Millisecond)
			return
		}
		w.submit(id, 1+w.rng.IntN(3), time.Duration(30+w.rng.IntN(1800))*time.Millisecond)
	})
	w.every(faultPeriod, w.injectFault)
	w.runFor(repeatSpan)
}

func TestNoTaskOfARepeatableJobRunsTwiceAtATime(t *testing.T) { searchRepeats(t, false, false) }

// TestNoTaskRunsTwiceForACallerBehindASilentPath guards against an entry that goes on serving a caller whose leave it doesn't read, or reads
// late, while the caller has submitted the job to another entry.
func TestNoTaskRunsTwiceForACallerBehindASilentPath(t *testing.T) { searchRepeats(t, true, false) }

// TestNoRunOutlastsTheClaimOfItsEntry is the same with at most one fault per 2.5 s beside the silent paths and the calls that targets leave
// unanswered. It guards against claims that end before the runs do, or that are made too late to be heard if their entry is lost.
func TestNoRunOutlastsTheClaimOfItsEntry(t *testing.T) { searchRepeats(t, true, true) }

// tightFaults are the faults of injectFault that entries and agents meet in that test: frozen, killed, cut off, reset and slow ones.
var tightFaults = []int{0, 1, 2, 4, 5, 6, 7, 15, 17}

func searchRepeats(t *testing.T, silentPaths, tight bool) {
	t.Helper()
	starts, done := 0, 0
	gaps := &gapCount{}
	defer func() { t.Log(gaps) }()
	for i := range uint64(*repeatSeeds) {
		w := newRepeatWorld(t, *repeatFrom+i)
		w.silentPaths, w.tight, w.gaps = silentPaths, tight, gaps
		w.run()
		starts += w.starts
		done += w.done
	}
	t.Logf("%d sequences: %d starts, %d jobs ended", *repeatSeeds, starts, done)
	least := 20
	if tight {
		least = 10 // there are fewer jobs
	}
	require.Greater(t, starts, least**repeatSeeds)
	require.Greater(t, done, least**repeatSeeds)
}
