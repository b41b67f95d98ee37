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
	cutAgents   = 3
	cutLifetime = 2 * time.Second // from submission to deadline, of jobs submitted during a cut
	cutJobs     = 30
)

var threeEntries = fleet.Names("entry", 3)

func newRelayedFleet(t *testing.T, entries int) *fleet.Fleet {
	t.Helper()
	return fleet.NewWith(t, entries, cutAgents, fleet.Options{HeartbeatMS: 200, SuspectMS: 1000, GraceMS: 1000, Relayed: true})
}

// submitToAll submits n jobs at once, each to all of the entries, and expects an answer from each entry by the deadline.
func submitToAll(f *fleet.Fleet, t *testing.T, prefix string, n int, life time.Duration, entries ...string) []outcome {
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

// Cuts an owner off from every agent and entry in one direction, while callers still reach it. Its shards must move to the
// other entries; in either direction, during and after the cut, no task may start twice and no job that ran be "not run".
func TestOwnerCutOffOneWay(t *testing.T) {
	for _, c := range []struct {
		name    string
		mode    relay.Mode
		inbound bool // the owner receives nothing; else it can send nothing
	}{
		{"nobody hears it, bytes come late", relay.Hold, false},
		{"nobody hears it, bytes are lost", relay.Drop, false},
		{"it hears nobody, bytes come late", relay.Hold, true},
		{"it hears nobody, bytes are lost", relay.Drop, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRelayedFleet(t, 3)
			isolate := func(mode relay.Mode) {
				for _, other := range append(fleet.Names("agent", cutAgents), "entry-1", "entry-2") {
					if c.inbound {
						f.Cut(other, "entry-3", mode)
					} else {
						f.Cut("entry-3", other, mode)
					}
				}
			}
			all := submitToAll(f, t, "before", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, all)
			isolate(c.mode)
			cut := time.Now()
			during := make(chan []outcome)
			go func() { during <- submitToAll(f, t, "cut", cutJobs, lifetime, threeEntries...) }()
			awaitMembers(f, 2)
			removed := time.Since(cut)
			served := submitAtOnce(f, t, "served", cutJobs, lifetime, "entry-1", "entry-2")
			t.Logf("after the cut: out of the map in %v, every shard served in %v", removed, time.Since(cut))
			requireCompleteEverywhere(t, served)
			all = append(all, served...)
			all = append(all, submitToAll(f, t, "taken", cutJobs, cutLifetime, threeEntries...)...)
			isolate(relay.Pass)
			awaitMembers(f, 3)
			f.AwaitTargets("entry-3", cutAgents)
			after := submitToAll(f, t, "after", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, after)
			all = append(append(all, after...), <-during...)
			checkOutcomes(t, f.AllStarts(cutAgents), all)
		})
	}
}

// Cuts one direction between an agent and an entry. The entry must place nothing on the agent until both directions work.
func TestAgentAndEntryHearEachOtherOneWay(t *testing.T) {
	for _, c := range []struct{ name, from, to string }{
		{"from the agent to the entry", "agent-1", "entry-1"},
		{"from the entry to the agent", "entry-1", "agent-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRelayedFleet(t, 3)
			f.Cut(c.from, c.to, relay.Hold)
			all := submitToAll(f, t, "cut", cutJobs, cutLifetime, threeEntries...)
			f.AwaitTargets("entry-1", cutAgents-1)
			around := submitToAll(f, t, "around", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, around)
			f.Cut(c.from, c.to, relay.Pass)
			f.AwaitTargets("entry-1", cutAgents)
			after := submitToAll(f, t, "after", cutJobs, lifetime, threeEntries...)
			requireCompleteEverywhere(t, after)
			checkOutcomes(t, f.AllStarts(cutAgents), append(append(all, around...), after...))
		})
	}
}

// Cuts the answers between the entry that forwarded a job and the owner. The caller must get the whole answer if the
// connection recovers before the deadline, else "unknown"; a resubmission to any entry must then return the same bytes.
func TestAnswersLostBetweenEntries(t *testing.T) {
	for _, c := range []struct {
		name string
		mode relay.Mode
		life time.Duration // if below lifetime, the cut lasts until the deadline
	}{
		{"late", relay.Hold, lifetime},
		{"lost", relay.Drop, lifetime},
		{"late beyond the deadline", relay.Hold, cutLifetime},
		{"lost beyond the deadline", relay.Drop, cutLifetime},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRelayedFleet(t, 2)
			f.CutAnswers("entry-2", "entry-1", c.mode)
			ran := make(chan struct{})
			go func() {
				defer close(ran)
				if c.life == lifetime {
					f.Await("every task has started", func() bool { return len(f.AllStarts(cutAgents)) == 2*cutJobs })
					f.CutAnswers("entry-2", "entry-1", relay.Pass)
				}
			}()
			got := submitToAll(f, t, "once", cutJobs, c.life, "entry-1")
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
			require.Equal(t, c.life == cutLifetime, lost > 0, "%d lost", lost)
			checkOutcomes(t, f.AllStarts(cutAgents), got)
			requireSameBytes(f, t, got)
		})
	}
}

// requireSameBytes resubmits each job to both entries and requires the same complete answer from both.
func requireSameBytes(f *fleet.Fleet, t *testing.T, got []outcome) {
	t.Helper()
	for _, o := range got {
		first := resubmit(f, t, "entry-1", &o)
		var r reply
		require.NoError(t, json.Unmarshal(first, &r))
		require.Equal(t, "complete", r.Outcome, r.Reason)
		checkReply(t, &o, &r, o.tasks)
		require.Equal(t, string(first), string(resubmit(f, t, "entry-2", &o)))
	}
	for task, n := range f.AllStarts(cutAgents) {
		require.Equal(t, 1, n, task)
	}
}

// resubmit submits a job again; past its deadline, when a submission is refused, it gets the job's answer instead.
func resubmit(f *fleet.Fleet, t *testing.T, entry string, o *outcome) []byte {
	t.Helper()
	_, got, err := f.Client(entry).Submit(o.body, time.Now().Add(cutLifetime))
	require.NoError(t, err)
	if strings.Contains(string(got), "deadline: expired") {
		_, got, err = f.Client(entry).Do("GET", "/v1/jobs/kits/"+o.id, nil, time.Now().Add(cutLifetime))
		require.NoError(t, err)
	}
	return got
}

// Restarts a lone entry behind a port mapping. The new process doesn't prove that the earlier one is dead, since a mapping can be
// moved while the first process still runs; an operator can retire it instead.
func TestMappedEntryRestarts(t *testing.T) {
	f := newRelayedFleet(t, 1)
	require.Contains(t, command(f, "entry-1", "retire", "--dead", "entry-1"), "answer 409: entry: entry-1 is alive")
	f.Kill("entry-1")
	f.Restart("entry-1")
	f.Await("the retirement is accepted", func() bool {
		return strings.Contains(command(f, "entry-1", "retire", "--dead", "entry-1"), "taken for dead")
	})
	f.AwaitTargets("entry-1", cutAgents)
	all := unknownThenComplete(f, t)
	checkOutcomes(t, f.AllStarts(cutAgents), all)
}
