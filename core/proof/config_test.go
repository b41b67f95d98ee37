package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The readers of the configuration at two entries and four agents are stepped together with a store on a simulated clock: the store
// is down, slow, turns processes away or drops its history and lists old records; connections go silent, links are cut, processes
// are frozen or replaced, and changes come in storms. An entry that could hear of a change by any path has it within the bound.
var configSeeds = flag.Int("config-seeds", 150, "sequences of configuration changes")

const (
	configSpan = 40 * time.Second
	// changeBound is the time after its confirmation at which a change has to be in force, and touchTime how long a path must have
	// been undisturbed for it to count.
	changeBound = 2 * time.Second
	touchTime   = 3 * time.Second
)

// configGuard is a check that the search leaves out, to show that it finds the failure which the check prevents.
type configGuard int

const (
	allGuards configGuard = iota
	withoutRelay
	withoutGaps
	withoutPartialLists
	withoutNewerReads
	withoutSpread
)

// configWorld holds the store, the processes and the links between them.
type configWorld struct {
	timeline
	rng     *rand.Rand
	guard   configGuard
	store   *configStore
	entries []*configEntry
	agents  []*configAgent
	checked int
	failure string
	history []string
}

func newConfigWorld(seed uint64, guard configGuard) *configWorld {
	w := &configWorld{timeline: newTimeline(), rng: rand.New(rand.NewPCG(seed, 7)), guard: guard}
	w.store = &configStore{w: w}
	w.store.change()
	for i := range 2 {
		w.entries = append(w.entries, newConfigEntry(w, fmt.Sprint("e", i)))
	}
	for i := range 4 {
		w.agents = append(w.agents, newConfigAgent(w, fmt.Sprint("a", i)))
	}
	for _, e := range w.entries {
		e.boot()
	}
	for _, a := range w.agents {
		a.boot()
	}
	return w
}

// note adds a line to the history that is shown with a failure.
func (w *configWorld) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// fail records the first failure with the end of the history.
func (w *configWorld) fail(format string, args ...any) {
	if w.failure != "" {
		return
	}
	const lines = 60
	w.note(format, args...)
	w.failure = strings.Join(w.history[max(0, len(w.history)-lines):], "\n")
}

// between returns a random duration.
func (w *configWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// run plays faults and changes, and checks the entries all the while.
func (w *configWorld) run() {
	w.every(10*time.Millisecond, w.store.serveWaiting)
	w.every(50*time.Millisecond, w.check)
	w.injectLater()
	w.changeLater()
	w.runFor(configSpan)
}

func (w *configWorld) changeLater() {
	var pause time.Duration
	switch w.rng.IntN(4) {
	case 0:
		pause = 60 * time.Millisecond
	case 1:
		pause = w.between(4*time.Second, 9*time.Second)
	default:
		pause = w.between(100*time.Millisecond, 3*time.Second)
	}
	w.after(pause, func() {
		w.store.change()
		w.changeLater()
	})
}

func (w *configWorld) injectLater() {
	w.after(w.between(200*time.Millisecond, 2*time.Second), func() {
		w.inject()
		w.injectLater()
	})
}

// inject begins one random fault.
func (w *configWorld) inject() {
	e, a := w.entries[w.rng.IntN(len(w.entries))], w.agents[w.rng.IntN(len(w.agents))]
	until := w.now.Add(w.between(600*time.Millisecond, 4*time.Second))
	silent := w.rng.IntN(2) == 0
	fault := w.rng.IntN(12)
	w.note("fault %d: %s, %s, for %s, silent %t", fault, e.name, a.name, until.Sub(w.now), silent)
	switch fault {
	case 0:
		w.store.fail(until, silent)
	case 1:
		w.store.compact()
	case 2:
		w.store.slowDown(until)
	case 3, 4:
		w.turnAway(w.now.Add(w.between(time.Second, 12*time.Second)), silent, true)
	case 5:
		w.turnAway(w.now.Add(w.between(time.Second, 12*time.Second)), silent, false)
	case 6:
		e.silence()
	case 7:
		e.cutLink(a, until)
	case 8:
		e.freeze(until)
	case 9:
		a.freeze(until)
	case 10:
		e.boot()
	case 11:
		a.boot()
	}
}

// turnAway makes the store turn away some processes, among them all entries if entries is set.
func (w *configWorld) turnAway(until time.Time, silent, entries bool) {
	for _, e := range w.entries {
		if entries || w.rng.IntN(3) == 0 {
			e.turnAway(until, silent)
		}
	}
	for _, a := range w.agents {
		if w.rng.IntN(3) == 0 {
			a.turnAway(until, silent)
		}
	}
}

// check records a failure if an entry takes an older version as confirmed, or lacks a change that it could have heard of for longer
// than the bound.
func (w *configWorld) check() {
	required := w.store.newestAt(w.now.Add(-changeBound))
	for _, e := range w.entries {
		if at := e.doc.Confirmed(); e.doc.Version() < w.store.newestAt(at) && at.After(w.store.misleadingUntil) {
			w.fail("%s takes version %d as confirmed %s ago, when the store had %d", e.name, e.doc.Version(), w.now.Sub(at), w.store.newestAt(at))
		}
		if !e.calm() || !w.reachesStore(e) {
			continue
		}
		w.checked++
		if v := e.doc.Version(); v < required {
			w.fail("%s serves version %d, version %d was confirmed over %s before", e.name, v, required, changeBound)
		}
	}
}

// reachesStore reports whether an entry has had an undisturbed path to the store: its own, through an agent, or through an agent and
// another entry.
func (w *configWorld) reachesStore(e *configEntry) bool {
	if !w.calmSince(w.store.calmFrom) {
		return false
	}
	if w.calmSince(e.servedFrom) {
		return true
	}
	for _, a := range w.agents {
		if !a.calm() || !w.calmSince(e.linkedFrom[a]) {
			continue
		}
		if w.calmSince(a.servedFrom) {
			return true
		}
		for _, other := range w.entries {
			if other.calm() && w.calmSince(other.linkedFrom[a]) && w.calmSince(other.servedFrom) {
				return true
			}
		}
	}
	return false
}

// calmSince reports whether a disturbance that ends at a time is long enough ago.
func (w *configWorld) calmSince(end time.Time) bool { return w.now.Sub(end) >= touchTime }

func TestConfirmedChangeIsInForceWhereverItCanBeHeardOf(t *testing.T) {
	checked := 0
	for seed := range uint64(*configSeeds) {
		w := newConfigWorld(seed, allGuards)
		w.run()
		require.Empty(t, w.failure, "seed %d", seed)
		checked += w.checked
	}
	require.Greater(t, checked, *configSeeds*50, "checks on entries that could hear of a change")
	t.Logf("%d checks in %d sequences", checked, *configSeeds)
}

// TestSearchFindsEachMissingGuard shows that the search above reaches the cases for which the guards are there.
func TestSearchFindsEachMissingGuard(t *testing.T) {
	if raceDepth > 0 {
		t.Skip("run without the race detector, as the search takes ten times as long with it")
	}
	for guard, name := range map[configGuard]string{
		withoutRelay:        "entries don't ask agents",
		withoutGaps:         "the offsets of a read are ignored",
		withoutPartialLists: "each list counts as up to date",
		withoutNewerReads:   "a read under way answers later requests",
		withoutSpread:       "agents don't fetch from entries",
	} {
		t.Run(name, func(t *testing.T) {
			const maxSeeds = 1000
			for seed := range uint64(maxSeeds) {
				w := newConfigWorld(seed, guard)
				w.run()
				if w.failure != "" {
					t.Logf("seed %d: %s", seed, w.failure)
					return
				}
			}
			require.Fail(t, "not found")
		})
	}
}
