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

// The longer run for operators is: go test ./test/faults -run Chaos -chaos-seconds 600 -chaos-seed 7
var (
	chaosSeconds = flag.Int("chaos-seconds", 12, "how long the processes are disturbed")
	chaosSeed    = flag.Uint64("chaos-seed", 1, "seed of the disturbances and of the jobs")
)

const (
	chaosEntries = 3
	chaosAgents  = 4
	callers      = 12
	lifetime     = 15 * time.Second
	callerPause  = 100 * time.Millisecond
)

// outcome is what a caller was told of one submission, by one entry or by several.
type outcome struct {
	id      string
	tasks   int
	answers []reply
	errs    []error
	body    []byte // what was submitted, if it is to be submitted again
}

// book collects the outcomes.
type book struct {
	mu  sync.Mutex
	all []outcome
}

func (b *book) add(o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, o)
}

// Under kills, freezes and restarts of entries and agents, with every job sent to two entries at once, no task starts
// twice, "not run" is never said of a job that ran, a complete answer is whole, and every job has an end.
func TestChaos(t *testing.T) {
	f := fleet.New(t, chaosEntries, chaosAgents)
	end := time.Now().Add(time.Duration(*chaosSeconds) * time.Second)
	var wg sync.WaitGroup
	results := &book{}
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call(f, t, c, end, results)
		}()
	}
	disturb(f, end)
	wg.Wait()
	require.Empty(t, f.UnexpectedExits(), "processes that ended by themselves")
	judge(t, f.AllStarts(chaosAgents), results.all)
}

// call submits jobs one after another until end, each at two entries at once.
func call(f *fleet.Fleet, t *testing.T, c int, end time.Time, results *book) {
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

// disturb kills, freezes and restarts one process after another; at most one entry is away at a time.
func disturb(f *fleet.Fleet, end time.Time) {
	rng := rand.New(rand.NewPCG(*chaosSeed, 1<<32))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		name := fmt.Sprintf("agent-%d", 1+rng.IntN(chaosAgents))
		if rng.IntN(2) == 0 {
			name = fmt.Sprintf("entry-%d", 1+rng.IntN(chaosEntries))
		}
		away := time.Duration(100+rng.IntN(6000)) * time.Millisecond
		if rng.IntN(2) == 0 {
			f.Freeze(name)
			time.Sleep(away)
			f.Thaw(name)
			continue
		}
		f.Kill(name)
		time.Sleep(away / 2)
		f.Restart(name)
	}
}

func judge(t *testing.T, starts map[string]int, results []outcome) {
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
			check(t, &o, &r, started)
		}
	}
	t.Logf("answers: %v, starts: %d", counts, len(starts))
	require.Positive(t, counts["complete"])
}

func check(t *testing.T, o *outcome, r *reply, started int) {
	require.Contains(t, []string{"complete", "failed", "refused", "unknown"}, r.Outcome)
	if r.NotRun != nil && *r.NotRun {
		require.Zero(t, started, "%s: not run was said, %s", o.id, r.Reason)
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
