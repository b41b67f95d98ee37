package load_test

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"persimmonstage/core/mix"
	"persimmonstage/core/score"
	"persimmonstage/io/load"
)

// serve starts an entry that answers every job as complete, with the number of results that the given function returns.
func serve(t *testing.T, results func(tasks int) int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var sub struct {
			Tasks []json.RawMessage `json:"tasks"`
		}
		if json.Unmarshal(ctx.PostBody(), &sub) != nil {
			return
		}
		body, _ := json.Marshal(map[string]any{"outcome": "complete", "results": make([][]byte, results(len(sub.Tasks)))})
		ctx.SetBody(body)
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return "http://" + l.Addr().String()
}

// serveFloodLate starts an entry that answers the jobs of a flood after all others.
func serveFloodLate(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var sub struct {
			Team  string            `json:"team"`
			Tasks []json.RawMessage `json:"tasks"`
		}
		if json.Unmarshal(ctx.PostBody(), &sub) != nil {
			return
		}
		if sub.Team == "flood" {
			time.Sleep(300 * time.Millisecond)
		}
		body, _ := json.Marshal(map[string]any{"outcome": "complete", "results": make([][]byte, len(sub.Tasks))})
		ctx.SetBody(body)
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return "http://" + l.Addr().String()
}

func TestPhaseCountsEveryJobOnce(t *testing.T) {
	l := &load.Generator{
		Entries: []string{serve(t, func(n int) int { return n })}, Kinds: mix.Fixed(3, 0), Rate: 500, Seconds: 0.2, Seed: 1,
		Slots: 8, Resubmit: 0.2, MaxSizeError: 10,
	}
	require.NoError(t, l.RunPhase(t.Context(), "calm"))
	require.NoError(t, l.RunFlood(t.Context(), "flood", "resubmissions", 2))
	for _, name := range []string{"calm", "flood"} {
		for _, r := range l.Score(name).Rows() {
			require.Positive(t, r.Jobs, r.Kind)
			require.Equal(t, map[string]int{score.Complete: r.Jobs}, r.Outcomes, "%s %v", r.Kind, r.Reasons)
		}
	}
	var table, report, svg bytes.Buffer
	require.NoError(t, l.WriteTable(&table))
	require.NoError(t, l.WriteJSON(&report))
	require.NoError(t, l.WriteSVG(&svg))
	require.True(t, json.Valid(report.Bytes()))
	require.Contains(t, table.String(), "resubmissions")
	require.Contains(t, svg.String(), "<svg")
}

// The answers to the flood arrive only after those to the load: a phase that ends with the load's last answer would count the
// flood's jobs that are still open as lost, which happened once to the last job of a flood on a busy machine.
func TestPhaseWaitsForTheAnswersToTheFlood(t *testing.T) {
	l := &load.Generator{
		Entries: []string{serveFloodLate(t)}, Kinds: mix.Fixed(3, 0), Rate: 200, Seconds: 0.1, Seed: 1, Slots: 8,
	}
	require.NoError(t, l.RunFlood(t.Context(), "flood", "resubmissions", 2))
	for _, r := range l.Score("flood").Rows() {
		require.Equal(t, map[string]int{score.Complete: r.Jobs}, r.Outcomes, "%s %v", r.Kind, r.Reasons)
	}
}

func TestAnswerWithTooFewResultsIsNotComplete(t *testing.T) {
	l := &load.Generator{Entries: []string{serve(t, func(n int) int { return n - 1 })}, Kinds: mix.Fixed(3, 0), Rate: 200, Seconds: 0.1}
	require.NoError(t, l.RunPhase(t.Context(), "calm"))
	for _, r := range l.Score("calm").Rows() {
		require.Zero(t, r.Outcomes[score.Complete])
	}
}

func TestCheckRejectsOtherHostsAndUnlimitedLoads(t *testing.T) {
	good := load.Generator{Entries: []string{"http://127.0.0.1:1"}, Rate: 1, Seconds: 1}
	require.NoError(t, good.Check())
	for _, base := range []string{"http://10.0.0.1:80", "http://example.com", "127.0.0.1:80", "http://[2001:db8::1]:80"} {
		l := good
		l.Targets = []string{base}
		require.ErrorContains(t, l.Check(), base)
	}
	for _, change := range []func(l *load.Generator){
		func(l *load.Generator) { l.Entries = nil },
		func(l *load.Generator) { l.Rate = 0 },
		func(l *load.Generator) { l.Rate = load.MaxRate + 1 },
		func(l *load.Generator) { l.Seconds = load.MaxSeconds + 1 },
	} {
		l := good
		change(&l)
		require.Error(t, l.Check())
	}
}
