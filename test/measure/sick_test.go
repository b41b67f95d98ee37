package measure

import (
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/score"
	"persimmonstage/io/load"
)

// flapPeriod is the time between two restarts of an agent that flaps.
const flapPeriod = 1500 * time.Millisecond

// sickness is a fault of one target; do carries out at its agent what isn't a fault of the stand-in, until end.
type sickness struct {
	name   string
	faults string
	do     func(r *rig, agent string, end <-chan struct{})
}

var sicknesses = []sickness{
	{name: "fails-all", faults: `{"fail": true}`},
	{name: "hang", faults: `{"hang": true}`},
	{name: "ten-times-slower", faults: `{"slow-factor": 10}`},
	{name: "flap", faults: `{}`, do: flap},
}

// flap kills and restarts the agent again and again.
func flap(r *rig, agent string, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(flapPeriod):
			r.Kill(agent)
			r.Restart(agent)
		}
	}
}

// TestSick prints, for each sickness of one target, what the target took before and during it and what the others kept.
func TestSick(t *testing.T) {
	for _, s := range sicknesses {
		t.Run(s.name, func(t *testing.T) {
			r := newRig(t)
			l := r.calm(t)
			calm := r.taken()
			victim := busiest(calm)
			r.TargetFaults(r.targets[victim], s.faults)
			end := make(chan struct{})
			var wg sync.WaitGroup
			if s.do != nil {
				wg.Go(func() { s.do(r, r.agents[victim], end) })
			}
			require.NoError(t, l.RunPhase(t.Context(), "sick"))
			close(end)
			wg.Wait()
			require.NoError(t, l.WriteTable(os.Stdout))
			rows := l.Score("sick").Rows()
			all := rows[len(rows)-1]
			t.Logf("%s: %s took %d starts in the warm-up and calm, %d when sick; jobs %d, not complete %d", s.name, r.targets[victim],
				calm[victim], r.taken()[victim]-calm[victim], all.Jobs, all.Jobs-all.Outcomes[score.Complete])
			for _, name := range r.entries {
				state, _ := r.State(name)
				t.Logf("%s: out because: %q", name, state.EjectReason(r.agents[victim]))
			}
		})
	}
}

// calm gives a load of which a first phase has run, after a warm-up.
func (r *rig) calm(t *testing.T) *load.Generator {
	t.Helper()
	rate := r.rateOf(shares(t)[0])
	require.NoError(t, r.load(rate, warmUp).RunPhase(t.Context(), "warm-up"))
	l := r.load(rate, *seconds)
	l.Seed++
	l.Agents = nil // some of them die
	require.NoError(t, l.RunPhase(t.Context(), "calm"))
	return l
}

// taken gives how many tasks each target has started.
func (r *rig) taken() []int {
	n := make([]int, len(r.targets))
	for i, name := range r.targets {
		n[i] = r.Starts(name).Total
	}
	return n
}

// busiest gives the target that has started the most.
func busiest(taken []int) int { return slices.Index(taken, slices.Max(taken)) }

// TestDataCentreLost prints the messages per start before, during and after all agents of one data centre are killed at once.
func TestDataCentreLost(t *testing.T) {
	r := newRig(t)
	l := r.calm(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(time.Duration(*seconds / 4 * float64(time.Second)))
		for i := 0; i < *agents; i += 3 {
			wg.Go(func() { r.Kill(r.agents[i]) })
		}
	})
	require.NoError(t, l.RunPhase(t.Context(), "loss"))
	wg.Wait()
	require.NoError(t, l.RunPhase(t.Context(), "after"))
	require.NoError(t, l.WriteTable(os.Stdout))
}
