package faults

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/verb"
	"persimmonstage/test/fleet"
)

// servedInARow is the number of consecutive jobs that must be served; each job may belong to another shard.
const servedInARow = 20

// command runs a verb against an entry and returns its output.
func command(f *fleet.Fleet, entry string, args ...string) string {
	var out bytes.Buffer
	verb.Main(append([]string{"persimmonstage", args[0], "--entry", f.URL(entry)}, args[1:]...), nil, &out, &out)
	return out.String()
}

// unknownThenComplete submits new jobs until servedInARow consecutive ones complete. The dead entries may have used agents that
// this entry doesn't have, so a job issued before the earlier map's grace has passed may have run: it is "unknown".
func unknownThenComplete(f *fleet.Fleet, t *testing.T) []outcome {
	t.Helper()
	var all []outcome
	inARow := 0
	f.Await("a new job is served", func() bool {
		one := submitInTurn(f, t, fmt.Sprintf("early-%d", len(all)), 1, lifetime, "entry-1")
		all = append(all, one...)
		got := one[0].answers[0]
		require.Contains(t, []string{"complete", "unknown"}, got.Outcome, got.Reason)
		require.Nil(t, got.NotRun)
		if got.Outcome != "complete" {
			inARow = 0
			return false
		}
		inARow++
		return inARow == servedInARow
	})
	return all
}

// With two of three entries permanently lost, no task may start until an operator retires one of them; then all jobs must run.
func TestRetireAfterMajorityLoss(t *testing.T) {
	f := fleet.New(t, 3, chaosAgents)
	require.Contains(t, command(f, "entry-1", "retire", "--dead", "entry-2"), "answer 409: entry: entry-2 is alive")
	require.Contains(t, command(f, "entry-1", "retire", "--dead", "entry-1"), "answer 409: entry: entry-1 is alive")
	require.Contains(t, command(f, "entry-1", "retire", "--dead", "entry-9"), "answer 404: entry: entry-9 is not known")
	require.Contains(t, command(f, "entry-1", "retire", "entry-2"), "--dead: missing")

	f.Kill("entry-2")
	f.Kill("entry-3")
	f.Await("entry-2 is taken for dead", func() bool {
		s, ok := f.State("entry-1")
		require.True(t, !ok || len(s.Map.Members) == 3, "the map shrank without a majority")
		return strings.Contains(command(f, "entry-1", "retire", "--dead", "entry-2"), "taken for dead")
	})
	f.Await("entry-1 is the only member", func() bool {
		s, ok := f.State("entry-1")
		return ok && len(s.Map.Members) == 1
	})
	all := unknownThenComplete(f, t)
	after := submitInTurn(f, t, "after", 20, lifetime, "entry-1")
	requireAllComplete(t, after)
	checkOutcomes(t, f.AllStarts(chaosAgents), append(all, after...))
}
