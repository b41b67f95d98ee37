package faults

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// Operators can run it for longer: go test ./test/faults -run Chaos -chaos-seconds 600 -chaos-seed 7
var (
	chaosSeconds = flag.Int("chaos-seconds", 12, "how long faults are injected")
	chaosSeed    = flag.Uint64("chaos-seed", 1, "seed of the faults and of the jobs")
)

const (
	chaosEntries = 3
	chaosAgents  = 4
	callers      = 12
	lifetime     = 15 * time.Second
	callerPause  = 100 * time.Millisecond
)

// outcome is what a caller received for one job, from one entry or from several.
type outcome struct {
	id      string
	tasks   int
	answers []reply
	errs    []error
	body    []byte // the submission, set where it is submitted again later
}

// outcomeLog collects outcomes from concurrent callers.
type outcomeLog struct {
	mu  sync.Mutex
	all []outcome
}

func (b *outcomeLog) add(o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, o)
}

// Kills, freezes and restarts entries and agents while every job is submitted to two entries at once. No task may start
// twice, no job that ran may be answered "not run", a complete answer must have every result, and every job must end.
func TestChaos(t *testing.T) {
	f := fleet.New(t, chaosEntries, chaosAgents)
	end := time.Now().Add(time.Duration(*chaosSeconds) * time.Second)
	var wg sync.WaitGroup
	results := &outcomeLog{}
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runCaller(f, t, c, end, results)
		}()
	}
	injectFaults(f, end)
	wg.Wait()
	require.Empty(t, f.UnexpectedExits(), "processes that exited unexpectedly")
	checkOutcomes(t, f.AllStarts(chaosAgents), results.all)
}

// runCaller submits jobs one after another until end, each to two entries at once.
func runCaller(f *fleet.Fleet, t *testing.T, c int, end time.Time, results *outcomeLog) {
	rng := rand.New(rand.NewPCG(*chaosSeed, uint64(c)))
	for n := 0; time.Now().Before(end); n++ {
		o := outcome{id: fmt.Sprintf("c%d-%d", c, n), tasks: 1 + rng.IntN(4)}
		body, deadline := job(t, o.id, "sort", o.tasks, 20+rng.IntN(200), lifetime)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, e := range rng.Perm(chaosEntries)[:2] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r, err := submitOnce(f, fmt.Sprintf("entry-%d", e+1), body, deadline)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					o.errs = append(o.errs, err)
					return
				}
				o.answers = append(o.answers, r)
			}()
		}
		wg.Wait()
		if len(o.answers) == 0 {
			time.Sleep(callerPause)
		}
		results.add(o)
	}
}

func submitOnce(f *fleet.Fleet, entry string, body []byte, deadline time.Time) (reply, error) {
	_, got, err := f.Client(entry).Submit(body, deadline)
	var r reply
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(got, &r)
}

// injectFaults kills and restarts or freezes one process after another until end; at most one is unavailable at a time.
func injectFaults(f *fleet.Fleet, end time.Time) {
	rng := rand.New(rand.NewPCG(*chaosSeed, 1<<32))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		name := fmt.Sprintf("agent-%d", 1+rng.IntN(chaosAgents))
		if rng.IntN(2) == 0 {
			name = fmt.Sprintf("entry-%d", 1+rng.IntN(chaosEntries))
		}
		outage := time.Duration(100+rng.IntN(6000)) * time.Millisecond
		if rng.IntN(2) == 0 {
			f.Freeze(name)
			time.Sleep(outage)
			f.Thaw(name)
			continue
		}
		f.Kill(name)
		time.Sleep(outage / 2)
		f.Restart(name)
	}
}

// checkOutcomes compares the callers' outcomes with the starts that the targets counted by task.
func checkOutcomes(t *testing.T, starts map[string]int, results []outcome) {
	perJob := map[string]int{}
	for task, n := range starts {
		require.Equal(t, 1, n, "task %s started more than once", task)
		perJob[task[:strings.LastIndexByte(task, '/')]]++
	}
	counts := map[string]int{}
	for _, o := range results {
		started := perJob["kits/"+o.id]
		if len(o.answers) == 0 {
			counts["no-answer"]++
			if counts["no-answer"] < 5 {
				t.Log(o.errs)
			}
		}
		for _, r := range o.answers {
			counts[r.Outcome]++
			checkReply(t, &o, &r, started)
		}
	}
	t.Logf("answers: %v, starts: %d", counts, len(starts))
	require.Positive(t, counts["complete"])
}

func checkReply(t *testing.T, o *outcome, r *reply, started int) {
	require.Contains(t, []string{"complete", "failed", "refused", "unknown"}, r.Outcome)
	if r.NotRun != nil && *r.NotRun {
		require.Zero(t, started, "%s: answered as not run: %s", o.id, r.Reason)
	}
	if r.Outcome != "complete" {
		return
	}
	require.Equal(t, o.tasks, started, o.id)
	require.Len(t, r.Results, o.tasks)
	for k, out := range r.Results {
		require.Equal(t, fmt.Sprintf("%s/%d", o.id, k), string(out))
	}
}
