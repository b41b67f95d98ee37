package faults

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
	"persimmonstage/test/relay"
)

const (
	cutAgents = 3
	cutLife   = 2 * time.Second // of the jobs that are submitted during a cut
	cutJobs   = 30
)

var threeEntries = fleet.Names("entry", 3)

func cutFleet(t *testing.T, entries int) *fleet.Fleet {
	t.Helper()
	return fleet.NewWith(t, entries, cutAgents, fleet.Options{HeartbeatMS: 200, SuspectMS: 1000, GraceMS: 1000, Relayed: true})
}

// everywhere submits n jobs, all at once and each at every entry; each is answered by its deadline.
func everywhere(f *fleet.Fleet, t *testing.T, prefix string, n int, life time.Duration, entries ...string) []outcome {
	t.Helper()
	all := make([]outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		o := &all[i]
		*o = outcome{id: fmt.Sprintf("%s-%d", prefix, i), tasks: 2, answers: make([]reply, len(entries)), errs: make([]error, len(entries))}
		body, deadline := job(t, o.id, "sort", o.tasks, 50, life)
		o.body = body
		for k, entry := range entries {
			wg.Go(func() { o.answers[k], o.errs[k] = submitOnce(f, entry, body, deadline) })
		}
	}
	wg.Wait()
	for _, o := range all {
		for k, err := range o.errs {
			assert.NoError(t, err, "%s at %s", o.id, entries[k])
		}
	}
	return all
}

func requireCompleteEverywhere(t *testing.T, got []outcome) {
	t.Helper()
	for _, o := range got {
		for _, r := range o.answers {
			require.Equal(t, "complete", r.Outcome, "%s: %s", o.id, r.Reason)
		}
	}
}

func awaitMembers(f *fleet.Fleet, n int) {
	f.Await(fmt.Sprintf("the map has %d members", n), func() bool {
		s, ok := f.State("entry-1")
		return ok && len(s.Map.Members) == n
	})
}

// An owner that is cut off one way from every agent and entry, while callers still reach it, loses its shards to the others;
// whichever way is cut, nothing is started twice and no "not run" is false, then and after the cut heals.
func TestOwnerCutOffOneWay(t *testing.T) {
	for _, c := range []struct {
		name  string
		mode  relay.Mode
		heard bool // by the others, whom it doesn't hear
	}{
		{"nobody hears it, bytes come late", relay.Hold, false},
		{"nobody hears it, bytes are lost", relay.Drop, false},
		{"it hears nobody, bytes come late", relay.Hold, true},
		{"it hears nobody, bytes are lost", relay.Drop, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := cutFleet(t, 3)
			isolate := func(mode relay.Mode) {
				for _, other := range append(fleet.Names("agent", cutAgents), "entry-1", "entry-2") {
					if c.heard {
						f.Cut(other, "entry-3", mode)
					} else {
						f.Cut("entry-3", other, mode)
					}
				}
			}
			all := everywhere(f, t, "before", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, all)
			isolate(c.mode)
			cut := time.Now()
			during := make(chan []outcome)
			go func() { during <- everywhere(f, t, "cut", cutJobs, lifetime, threeEntries...) }()
			awaitMembers(f, 2)
			out := time.Since(cut)
			served := sendAtOnce(f, t, "served", cutJobs, lifetime, "entry-1", "entry-2")
			t.Logf("after the cut: out of the map in %v, every shard served in %v", out, time.Since(cut))
			requireCompleteEverywhere(t, served)
			all = append(all, served...)
			all = append(all, everywhere(f, t, "taken", cutJobs, cutLife, threeEntries...)...)
			isolate(relay.Pass)
			awaitMembers(f, 3)
			f.AwaitTargets("entry-3", cutAgents)
			after := everywhere(f, t, "after", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, after)
			all = append(append(all, after...), <-during...)
			judge(t, f.AllStarts(cutAgents), all)
		})
	}
}

// An entry that hears an agent, or is heard by it, only one way places nothing on it until both hear each other again.
func TestAgentAndEntryHearEachOtherOneWay(t *testing.T) {
	for _, c := range []struct{ name, from, to string }{
		{"the entry doesn't hear the agent", "agent-1", "entry-1"},
		{"the agent doesn't hear the entry", "entry-1", "agent-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := cutFleet(t, 3)
			f.Cut(c.from, c.to, relay.Hold)
			all := everywhere(f, t, "cut", cutJobs, cutLife, threeEntries...)
			f.AwaitTargets("entry-1", cutAgents-1)
			around := everywhere(f, t, "around", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, around)
			f.Cut(c.from, c.to, relay.Pass)
			f.AwaitTargets("entry-1", cutAgents)
			after := everywhere(f, t, "after", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, after)
			judge(t, f.AllStarts(cutAgents), append(append(all, around...), after...))
		})
	}
}

// A caller whose entry has forwarded its job, and loses the answer to it, still gets the whole answer to its own job when
// the connection comes back in time, and else "unknown"; a resubmission at any entry then gives the same bytes.
func TestAnswersLostBetweenEntries(t *testing.T) {
	for _, c := range []struct {
		name string
		mode relay.Mode
		life time.Duration // below lifetime, the answers stay away until the deadline
	}{
		{"late", relay.Hold, lifetime},
		{"lost", relay.Drop, lifetime},
		{"late beyond the deadline", relay.Hold, cutLife},
		{"lost beyond the deadline", relay.Drop, cutLife},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := cutFleet(t, 2)
			f.CutAnswers("entry-2", "entry-1", c.mode)
			ran := make(chan struct{})
			go func() {
				defer close(ran)
				if c.life == lifetime {
					f.Await("every task has started", func() bool { return len(f.AllStarts(cutAgents)) == 2*cutJobs })
					f.CutAnswers("entry-2", "entry-1", relay.Pass)
				}
			}()
			got := everywhere(f, t, "once", cutJobs, c.life, "entry-1")
			<-ran
			f.CutAnswers("entry-2", "entry-1", relay.Pass)
			lost := 0
			for _, o := range got {
				if r := o.answers[0]; r.Outcome != "complete" {
					require.Equal(t, "unknown", r.Outcome, r.Reason)
					require.Nil(t, r.NotRun)
					lost++
				}
			}
			require.Equal(t, c.life == cutLife, lost > 0, "%d lost", lost)
			judge(t, f.AllStarts(cutAgents), got)
			requireSameBytes(f, t, got)
		})
	}
}

// requireSameBytes asks both entries for each job again.
func requireSameBytes(f *fleet.Fleet, t *testing.T, got []outcome) {
	t.Helper()
	for _, o := range got {
		first := again(f, t, "entry-1", &o)
		var r reply
		require.NoError(t, json.Unmarshal(first, &r))
		require.Equal(t, "complete", r.Outcome, r.Reason)
		check(t, &o, &r, o.tasks)
		require.Equal(t, string(first), string(again(f, t, "entry-2", &o)))
	}
	for task, n := range f.AllStarts(cutAgents) {
		require.Equal(t, 1, n, task)
	}
}

// again submits a job a second time, or past its deadline, when no job is taken any more, asks what became of it.
func again(f *fleet.Fleet, t *testing.T, entry string, o *outcome) []byte {
	t.Helper()
	_, got, err := f.Client(entry).Submit(o.body, time.Now().Add(cutLife))
	require.NoError(t, err)
	if strings.Contains(string(got), "deadline: expired") {
		_, got, err = f.Client(entry).Do("GET", "/v1/jobs/kits/"+o.id, nil, time.Now().Add(cutLife))
		require.NoError(t, err)
	}
	return got
}

// A lone entry behind a port mapping can't prove by its restart that the process before is dead; an operator can say so.
func TestMappedEntryRestarts(t *testing.T) {
	f := cutFleet(t, 1)
	require.Contains(t, command(f, "entry-1", "retire", "--dead", "entry-1"), "answer 409: entry: entry-1 is alive")
	f.Kill("entry-1")
	f.Restart("entry-1")
	f.Await("the word is taken", func() bool {
		return strings.Contains(command(f, "entry-1", "retire", "--dead", "entry-1"), "taken for dead")
	})
	f.AwaitTargets("entry-1", cutAgents)
	all := unknownThenComplete(f, t)
	judge(t, f.AllStarts(cutAgents), all)
}
