package runsd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/wire"
)

func TestAStateIsSentInFullOnceAndAfterAChangeOfTheTarget(t *testing.T) {
	l := &link{}
	first := &wire.TargetState{Service: "s", Millicores: 64_000, Labels: []string{"r1"}, Usable: true, PacePermille: 1000}
	require.Equal(t, first, l.shorten(first))
	next := &wire.TargetState{Service: "s", Millicores: 64_000, Labels: []string{"r1"}, Usable: true, PacePermille: 1000, UsedMillicores: 9}
	require.False(t, sameState(l.sentState, next))
	sent := l.shorten(next)
	require.True(t, sent.Brief)
	require.Empty(t, sent.Service)
	require.Equal(t, uint64(9), sent.UsedMillicores)
	require.True(t, sameState(l.sentState, next))
	moved := &wire.TargetState{Service: "t", Millicores: 64_000, Labels: []string{"r1"}, Usable: true}
	require.Equal(t, moved, l.shorten(moved))
}
