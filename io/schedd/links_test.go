package schedd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/wire"
)

func TestBriefStateKeepsFieldsOfTheLastFullState(t *testing.T) {
	l := &link{}
	l.targetState(&wire.TargetState{Service: "s", Millicores: 64_000, MemoryMb: 128, Labels: []string{"r1"}, Process: 3, Usable: true})
	st := l.targetState(&wire.TargetState{
		Brief: true, UsedMillicores: 15_000, Usable: true, Held: true, PacePermille: 1500, Seen: 7,
	})
	require.Equal(t, "s", st.Service)
	require.Equal(t, uint64(64_000), st.Millicores)
	require.Equal(t, []string{"r1"}, st.Labels)
	require.Equal(t, uint64(3), st.Process)
	require.Equal(t, uint64(15_000), st.UsedMillicores)
	require.True(t, st.Held)
	require.InEpsilon(t, 1.5, st.Pace, 1e-9)
}

// TestABriefStateBeforeAWholeOneNamesNoTarget covers an agent that sends a brief state before any full one: the state has no
// service and no capacity, so that no task is placed there.
func TestABriefStateBeforeAWholeOneNamesNoTarget(t *testing.T) {
	st := (&link{}).targetState(&wire.TargetState{Brief: true, Usable: true})
	require.Empty(t, st.Service)
	require.Zero(t, st.Millicores)
}
