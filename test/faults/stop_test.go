package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// underLoad submits jobs of three tasks to the entries from several callers while during runs, and returns the outcomes.
func underLoad(f *fleet.Fleet, t *testing.T, entries []string, during func()) []outcome {
	t.Helper()
	return runLoad(f, t, load{callers: callers, kinds: []string{"sort"}, tasks: 3, workMS: 150, life: lifetime, entries: entries}, during)
}

// load is what a number of callers submit, each one job after another.
type load struct {
	callers int
	kinds   []string
	tasks   int
	workMS  int
	life    time.Duration
	entries []string
	first   int // number of each caller's first job, so that a second load has other ids
}

// runLoad submits a load while during runs and returns the outcomes; each job's id begins with its kind.
func runLoad(f *fleet.Fleet, t *testing.T, w load, during func()) []outcome {
	t.Helper()
	all := &outcomeLog{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range w.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := w.first; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				kind := w.kinds[n%len(w.kinds)]
				o := outcome{id: fmt.Sprintf("%s-%d-%d", kind, c, n), tasks: w.tasks}
				body, deadline := job(t, o.id, kind, o.tasks, w.workMS, w.life)
				r, err := submitOnce(f, w.entries[(c+n)%len(w.entries)], body, deadline)
				if err != nil {
					o.errs = append(o.errs, err)
				} else {
					o.answers = append(o.answers, r)
				}
				all.add(o)
			}
		}()
	}
	during()
	close(stop)
	wg.Wait()
	return all.all
}

// An entry that is stopped under load must exit with 0, and the jobs of its shards must complete through other entries.
func TestGracefulStopOfEntryInterruptsNothing(t *testing.T) {
	f := fleet.New(t, 3, chaosAgents)
	var code int
	got := underLoad(f, t, []string{"entry-1", "entry-2"}, func() {
		time.Sleep(time.Second)
		code = f.Stop("entry-3")
		time.Sleep(time.Second)
	})
	require.Zero(t, code)
	requireAllComplete(t, got)
	checkOutcomes(t, f.AllStarts(chaosAgents), got)
}

// An entry that is stopped must give whole answers to its own requests in progress before it exits.
func TestGracefulStopAnswersItsOwnCallers(t *testing.T) {
	f := fleet.New(t, 2, chaosAgents)
	all := &outcomeLog{}
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o := outcome{id: fmt.Sprintf("own-%d", n), tasks: 2}
			body, deadline := job(t, o.id, "sort", o.tasks, 1500, lifetime)
			r, err := submitOnce(f, "entry-1", body, deadline)
			if err != nil {
				o.errs = append(o.errs, err)
			} else {
				o.answers = append(o.answers, r)
			}
			all.add(o)
		}()
	}
	f.Await("the jobs are running", func() bool {
		return len(f.AllStarts(chaosAgents)) > 20
	})
	require.Zero(t, f.Stop("entry-1"))
	wg.Wait()
	requireAllComplete(t, all.all)
	checkOutcomes(t, f.AllStarts(chaosAgents), all.all)
}

// An agent that is stopped must complete its running tasks and refuse the rest, which go to other targets; no job may fail.
func TestGracefulStopOfAgentInterruptsNothing(t *testing.T) {
	f := fleet.New(t, 2, chaosAgents)
	var code int
	got := underLoad(f, t, []string{"entry-1", "entry-2"}, func() {
		time.Sleep(time.Second)
		code = f.Stop("agent-1")
		time.Sleep(time.Second)
	})
	require.Zero(t, code)
	requireAllComplete(t, got)
	checkOutcomes(t, f.AllStarts(chaosAgents), got)
}

func requireAllComplete(t *testing.T, got []outcome) {
	t.Helper()
	require.NotEmpty(t, got)
	for _, o := range got {
		require.Empty(t, o.errs, o.id)
		require.Len(t, o.answers, 1, o.id)
		require.Equal(t, "complete", o.answers[0].Outcome, "%s: %s", o.id, o.answers[0].Reason)
	}
}
