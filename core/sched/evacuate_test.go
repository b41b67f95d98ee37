package sched

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/evac"
	"persimmonstage/core/jobend"
)

// evacuations lets a test evacuate data centres and take that back.
type evacuations struct {
	*harness
	table  evac.Table
	offset int64
}

func newEvacuations(names ...string) *evacuations {
	v := &evacuations{harness: newHarness()}
	v.sched.SetEvacuations(&v.table)
	for _, name := range names {
		for i := range 3 {
			st := idleState(1)
			st.DataCentre = name
			v.sched.Join(v.now, fmt.Sprint(name, i), "1", "settings", st)
		}
	}
	return v
}

func (v *evacuations) set(t *testing.T, name string, on bool) {
	v.offset++
	_, err := v.table.Set(evac.Mark{DataCentre: name, Offset: v.offset, Evacuated: on})
	require.NoError(t, err)
	v.sched.EvacuationsChanged(v.now)
}

// TestAnEvacuatedDataCentreGetsNoTasks replays callers who need 100 of the 120 places of four data centres while one is evacuated and taken
// back. Nothing is placed there meanwhile, what runs there goes on, the 90 places that are left stay in use, and what is refused is refused
// as overload.
func TestAnEvacuatedDataCentreGetsNoTasks(t *testing.T) {
	const begin, end, steps, run = 200, 400, 600, 200 * time.Millisecond
	v := newEvacuations("a", "b", "c", "d")
	rng := rand.New(rand.NewPCG(54, 2))
	var began []time.Time // by start; zero once it has ended
	used, startsAtA := 0, map[bool]int{}
	for step := range steps {
		evacuated := step >= begin && step < end
		switch step {
		case begin:
			v.set(t, "a", true)
			require.Empty(t, v.stops, "what runs there may end")
		case end:
			v.set(t, "a", false)
		}
		for range 4 + rng.IntN(3) {
			v.submit(v.batch(fmt.Sprintf("%016x", v.sched.lastCaller), 1, run))
		}
		v.advance(tickPeriod)
		for i := len(began); i < len(v.starts); i++ {
			began = append(began, v.now)
			if strings.HasPrefix(v.startTargets[i], "a") {
				require.False(t, evacuated, "step %d", step)
				startsAtA[step >= end]++
			}
		}
		for i, at := range began {
			switch {
			case at.IsZero():
			case v.now.Sub(at) >= run:
				began[i] = time.Time{}
				v.endAttempt(v.startTargets[i], EndDone, i)
			case evacuated:
				used++
			}
		}
	}
	require.Greater(t, used/(end-begin), 80, "places in use")
	require.NotZero(t, startsAtA[false])
	require.NotZero(t, startsAtA[true], "used again")
	for _, st := range v.summaries {
		require.Contains(t, []string{"", Overload}, st.Outcome.Reason)
	}
}

// TestCallersAreToldAtOnceWhenAllIsEvacuated guards against jobs that wait until their deadline for targets that get no tasks, and against
// another reason than the true one.
func TestCallersAreToldAtOnceWhenAllIsEvacuated(t *testing.T) {
	v := newEvacuations("a", "b")
	v.submit(v.batch("runs", 1, 100*time.Millisecond))
	v.submit(v.batch("half", 200, 400*time.Millisecond)) // 60 places
	v.set(t, "a", true)
	v.set(t, "b", true)
	v.advance(tickPeriod)
	require.Equal(t, jobend.Outcome{Kind: jobend.Unfinished, Reason: Evacuated}, v.outcomes["half"], "some of its tasks can't start")
	require.NotContains(t, v.outcomes, "runs")
	v.endAttempt(v.startTargets[0], EndDone, 0)
	require.Equal(t, jobend.Done, v.outcomes["runs"].Kind)

	v.submit(v.batch("new", 1, 100*time.Millisecond))
	require.Equal(t, Evacuated, v.outcomes["new"].Reason)
	require.Equal(t, jobend.Refused, v.outcomes["new"].Kind)
	require.Positive(t, v.outcomes["new"].RetryAfter)

	v.set(t, "b", false)
	v.submit(v.batch("after", 1, 100*time.Millisecond))
	require.NotContains(t, v.outcomes, "after")
	require.True(t, strings.HasPrefix(v.startTargets[len(v.startTargets)-1], "b"))
}

// TestAJobWaitsForATargetThatIsNotEvacuated guards against a refusal that isn't true: a target outside is away only for a moment.
func TestAJobWaitsForATargetThatIsNotEvacuated(t *testing.T) {
	v := newEvacuations("a", "b")
	v.set(t, "a", true)
	for i := range 3 {
		v.sched.Disconnect(fmt.Sprint("b", i), v.now.Add(time.Second))
	}
	v.submit(v.batch("j", 1, 100*time.Millisecond))
	v.advance(tickPeriod)
	require.Empty(t, v.outcomes)
	require.Empty(t, v.starts)
}
