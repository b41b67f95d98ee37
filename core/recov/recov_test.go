package recov_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/ident"
	"persimmonstage/core/ledger"
	"persimmonstage/core/recov"
)

var (
	start = time.Unix(1000, 0)
	x     = ident.Ident{Name: "x", Incarnation: "x1"}
	y     = ident.Ident{Name: "y", Incarnation: "y1"}
	cfg   = recov.Config{Shard: 3, Epoch: 7, Version: 20, Skew: time.Second, AnswerTimeout: 2 * time.Second}
)

func job(id string, states ...ledger.State) ledger.Job {
	j := ledger.Job{Team: "t", ID: id}
	for i, state := range states {
		j.Tasks = append(j.Tasks, ledger.Task{Index: uint32(i), State: state})
	}
	return j
}

func verdict(r *recov.Recovery, now time.Time, id string) recov.Verdict {
	return r.Lookup(now, "t", id, start.Add(-time.Minute)).Verdict
}

func TestAnswersCountOnlyUnderTheNewMap(t *testing.T) {
	r := recov.New(cfg)
	r.AddAgents([]ident.Ident{x, y}, true)
	r.SetFenced(start)
	r.AddAnswer(x, 19, nil)
	r.AddAnswer(y, 20, []ledger.Job{job("found", ledger.Finished, ledger.Started), job("refused", ledger.Refused)})
	require.Equal(t, []ident.Ident{x}, r.Unanswered())
	require.Equal(t, recov.Wait, verdict(r, start, "other"))
	require.Equal(t, recov.Unknown, verdict(r, start.Add(2*time.Second), "other"))
	out := r.Lookup(start.Add(2*time.Second), "t", "found", start)
	require.Equal(t, recov.Found, out.Verdict)
	require.False(t, out.Complete)
	r.AddAnswer(x, 21, []ledger.Job{job("found", ledger.Refused)})
	require.True(t, r.Served())
	require.Equal(t, recov.NeverStarted, verdict(r, start, "other"))
	require.Equal(t, recov.NeverStarted, verdict(r, start, "refused"))
	out = r.Lookup(start, "t", "found", start)
	require.True(t, out.Complete)
	require.Equal(t, []recov.Task{{Index: 0, Agent: y, State: ledger.Finished}, {Index: 1, Agent: y, State: ledger.Started}}, out.Tasks)
}

func TestNothingCountsAsNeverStartedBeforeTheFence(t *testing.T) {
	r := recov.New(cfg)
	r.AddAgents([]ident.Ident{x}, true)
	r.AddAnswer(x, 20, nil)
	require.Equal(t, recov.Wait, verdict(r, start.Add(time.Hour), "other"))
	r.SetFenced(start)
	require.Equal(t, recov.NeverStarted, verdict(r, start, "other"))
}

func TestJobsIssuedAfterTheFenceNeedNotEveryAgent(t *testing.T) {
	r := recov.New(cfg)
	r.AddAgents([]ident.Ident{x}, false)
	r.SetFenced(start)
	edge := start.Add(2 * time.Second)
	require.Equal(t, recov.Unknown, r.Lookup(edge, "t", "a", edge).Verdict)
	require.Equal(t, recov.NeverStarted, r.Lookup(edge, "t", "a", edge.Add(1)).Verdict)
}

func TestReleaseReplacesTheWait(t *testing.T) {
	release := recov.Release{Shard: 3, Epoch: 6, Complete: true, Jobs: []recov.SentJob{{Team: "t", ID: "sent", Agents: []ident.Ident{x}}}}
	for _, bad := range []recov.Release{
		{Shard: 2, Epoch: 6, Complete: true},
		{Shard: 3, Epoch: 5, Complete: true},
		{Shard: 3, Epoch: 6},
	} {
		require.False(t, recov.New(cfg).Release(bad))
	}
	r := recov.New(cfg)
	require.True(t, r.Release(release))
	require.Equal(t, recov.NeverStarted, verdict(r, start, "other"))
	require.Equal(t, recov.Wait, verdict(r, start, "sent"))
	require.Equal(t, release.Jobs, r.SentJobs())
	c := r.Clone()
	c.AddAnswer(x, 20, nil)
	require.Equal(t, recov.NeverStarted, verdict(c, start, "sent"))
	require.Equal(t, recov.Wait, verdict(r, start, "sent"))
}

func TestOverflowIsUnknown(t *testing.T) {
	small := cfg
	small.Jobs = 1
	r := recov.New(small)
	r.AddAgents([]ident.Ident{x}, true)
	r.SetFenced(start)
	r.AddAnswer(x, 20, []ledger.Job{job("a", ledger.Started), job("b", ledger.Started)})
	require.False(t, r.Served())
	require.Equal(t, recov.Unknown, verdict(r, start.Add(time.Hour), "other"))
}

func TestFirstMapHasNothingToRecover(t *testing.T) {
	r := recov.New(recov.Config{First: true})
	require.True(t, r.Served())
	require.Empty(t, r.Unanswered())
	require.Equal(t, recov.NeverStarted, verdict(r, start, "any"))
}

func TestStatesOfTheRecovery(t *testing.T) {
	release := recov.Release{Shard: 3, Epoch: 6, Complete: true, Jobs: []recov.SentJob{{Team: "t", ID: "sent", Agents: []ident.Ident{y}}}}
	steps := map[string]func(*recov.Recovery){
		"fence":   func(r *recov.Recovery) { r.SetFenced(start) },
		"answer":  func(r *recov.Recovery) { r.AddAgents([]ident.Ident{x}, true); r.AddAnswer(x, 20, nil) },
		"release": func(r *recov.Recovery) { r.Release(release) },
		"overflow": func(r *recov.Recovery) {
			r.AddAnswer(y, 20, []ledger.Job{job("a", ledger.Started), job("b", ledger.Started)})
		},
		"settle": (*recov.Recovery).Settle,
	}
	for _, c := range []struct {
		steps  []string
		served bool
	}{
		{[]string{"answer"}, false},
		{[]string{"fence"}, false},
		{[]string{"answer", "fence", "answer", "fence"}, true},
		{[]string{"fence", "answer"}, true},
		{[]string{"release", "fence", "answer", "release"}, true},
		{[]string{"overflow", "fence", "answer", "release"}, false},
		{[]string{"fence", "answer", "overflow"}, false},
		{[]string{"overflow", "settle", "fence", "answer", "release", "overflow", "settle"}, true},
	} {
		small := cfg
		small.Jobs = 1
		r := recov.New(small)
		for _, step := range c.steps {
			steps[step](r)
		}
		require.Equal(t, c.served, r.Served(), c.steps)
	}
}
