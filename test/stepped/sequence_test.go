package stepped

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonstage/core/answer"
	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/needs"
	"persimmonstage/core/task"
)

// The nightly run is: go test ./test/stepped -sequences 10000
var sequences = flag.Int("sequences", 0, "number of sequences; 0 means the default of 300")

const (
	defaultSequences = 300
	maxSteps         = 120
	agentCount       = 3
)

// runSequence applies the steps in order; each step encodes an action and a number that selects its arguments.
func runSequence(t require.TestingT, f flaw, steps []int) *world {
	w := newWorld(t, f, agentCount)
	for n, s := range steps {
		w.step(s%actions, s/actions, n)
		if w.startedTwice() != "" {
			return w
		}
	}
	w.finish()
	return w
}

const actions = 18

func (w *world) step(action, n, at int) {
	h := w.agents[n%len(w.agents)]
	switch action {
	case 0, 1:
		w.newJob(n)
	case 2:
		if len(w.jobs) > 0 {
			w.submit(n % len(w.jobs))
		}
	case 3, 4, 5, 6, 7:
		w.deliver(n, false)
	case 8:
		w.deliver(n, true)
	case 9, 10:
		h.end(n/3, n%7 != 0)
	case 11:
		w.tick(time.Duration(1+n%40) * time.Millisecond)
	case 12:
		w.owners[n%len(w.owners)].disconnect(h)
	case 13:
		w.owners[n%len(w.owners)].connect(h)
	case 14:
		if n%4 == 0 && len(w.owners) < 4 {
			w.takeOver()
		}
	case 17:
		w.currentOwner().core.WithdrawFrom(h.incarnation)
	case 16:
		if len(w.jobs) > 0 {
			w.cancel(n % len(w.jobs))
		}
	case 15:
		if n%4 == 0 {
			w.restart(h, 2+at)
		}
	}
}

func (w *world) newJob(n int) {
	j := &job.Job{
		Key: jobkey.Key{Team: "kits", ID: fmt.Sprint(len(w.jobs))}, Kind: "cut", Issued: w.now,
		Deadline: w.now.Add(time.Duration(50+n%400) * time.Millisecond), Tasks: make([]task.Task, 1+n%4),
	}
	for i := range j.Tasks {
		j.Tasks[i] = task.Task{Payload: []byte("p"), Needs: needs.Vector{Slots: 1}}
	}
	w.jobs = append(w.jobs, j)
	w.submit(len(w.jobs) - 1)
}

// deliver delivers the first message of a stream; with keep, it is queued again.
func (w *world) deliver(n int, keep bool) {
	var ready []*[]func()
	for _, e := range w.owners {
		for _, name := range append([]string{"self"}, w.agentIncarnations()...) {
			if l := e.links[name]; l != nil {
				for s := range l.streams {
					if len(l.streams[s]) > 0 {
						ready = append(ready, &l.streams[s])
					}
				}
			}
		}
	}
	if len(ready) == 0 {
		return
	}
	s := ready[n%len(ready)]
	m := (*s)[0]
	*s = (*s)[1:]
	if keep {
		*s = append(*s, m)
	}
	m()
}

func (w *world) agentIncarnations() []string {
	out := make([]string, len(w.agents))
	for i, h := range w.agents {
		out[i] = h.incarnation
	}
	return out
}

// finish passes every job's deadline and delivers every message in flight.
func (w *world) finish() {
	for range 60 {
		w.tick(10 * time.Millisecond)
		for n := range 200 {
			w.deliver(n, false)
		}
		for _, h := range w.agents {
			h.end(0, true)
		}
	}
}

func (w *world) startedTwice() string {
	for name, n := range w.starts {
		if n > 1 {
			return name
		}
	}
	return ""
}

// violation returns the first violation of the guarantees, or "".
func (w *world) violation() string {
	if name := w.startedTwice(); name != "" {
		return name + " started twice"
	}
	if w.falseNotRun != "" {
		return w.falseNotRun
	}
	for i, j := range w.jobs {
		if len(w.answers[i]) == 0 || len(w.owners) == 1 && len(w.answers[i]) != w.requests[i] {
			return fmt.Sprintf("job %d: %d answers to %d requests", i, len(w.answers[i]), w.requests[i])
		}
		for _, a := range w.answers[i] {
			if fault := w.checkAnswer(j, &a); fault != "" {
				return fmt.Sprintf("job %d: %s", i, fault)
			}
		}
	}
	return ""
}

func (w *world) checkAnswer(j *job.Job, a *answer.Answer) string {
	started := w.started(j)
	if a.NotRunKnown && a.NotRun && started > 0 {
		return "answered as not run after a start: " + a.Reason
	}
	if a.Outcome != answer.Complete {
		if len(a.Results) > 0 {
			return "results in an incomplete answer"
		}
		return ""
	}
	if len(a.Results) != len(j.Tasks) || started != len(j.Tasks) {
		return "complete without every task"
	}
	for k, r := range a.Results {
		if string(r) != output(j.Key, k) {
			return "a result of another task"
		}
	}
	return ""
}

func stepsGenerator() *rapid.Generator[[]int] {
	return rapid.SliceOfN(rapid.IntRange(0, actions*1000), 1, maxSteps)
}

// Example generates by seed, so that every run uses the same sequences.
func TestSequences(t *testing.T) {
	n := defaultSequences
	if *sequences > 0 {
		n = *sequences
	}
	complete, steps := 0, stepsGenerator()
	for seed := range n {
		w := runSequence(t, none, steps.Example(seed))
		require.Empty(t, w.violation(), "seed %d", seed)
		for _, told := range w.answers {
			if told[0].Outcome == answer.Complete {
				complete++
			}
		}
	}
	t.Logf("%d sequences, %d jobs complete", n, complete)
	require.Greater(t, complete, n/4, "too few jobs complete")
}

// The answer to a cancellation must stay true when the owner's record is lost and the same job is submitted again.
func TestCancelledJobIsResubmittedToTheNextOwner(t *testing.T) {
	w := newWorld(t, none, agentCount)
	for _, h := range w.agents {
		w.currentOwner().disconnect(h)
	}
	w.newJob(399)
	w.cancel(0)
	require.Len(t, w.answers[0], 2)
	w.takeOver()
	w.submit(0)
	w.finish()
	require.Empty(t, w.violation())
	require.Equal(t, answer.Complete, w.answers[0][len(w.answers[0])-1].Outcome)
}

// An agent refuses the withdrawal of a start that an earlier owner ordered, since it has no such order; that refusal doesn't prove
// that the task never ran.
func TestStartOfAnEarlierOwnerIsNotWithdrawn(t *testing.T) {
	for name, withdraw := range map[string]func(*world){
		"target ejected": func(w *world) { w.currentOwner().core.WithdrawFrom(w.agents[0].incarnation) },
		"job cancelled":  func(w *world) { w.cancel(0) },
	} {
		w := newWorld(t, none, 1)
		w.newJob(399)
		for n := range 20 {
			w.deliver(n, false)
		}
		require.Positive(t, w.started(w.jobs[0]), name)
		w.takeOver()
		w.submit(0)
		withdraw(w)
		for n := range 20 {
			w.deliver(n, false)
		}
		w.finish()
		require.Empty(t, w.violation(), name)
	}
}

// Each mechanism is needed: with it disabled, some sequence violates a guarantee.
func TestSequencesFindFlaws(t *testing.T) {
	for _, f := range []flaw{noLedger, noFence, noLease, refuseStarted} {
		found := ""
		for seed := 0; seed < 20*defaultSequences && found == ""; seed++ {
			found = runSequence(t, f, stepsGenerator().Example(seed)).violation()
		}
		require.NotEmpty(t, found, "flaw %d is not found", f)
		t.Logf("flaw %d: %s", f, found)
	}
}
