package newest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/newest"
)

func TestVersionsOnlyRise(t *testing.T) {
	var n newest.Newest
	require.Zero(t, n.Version())
	require.True(t, n.Update(4, []byte("four"), "store"))
	require.False(t, n.Update(3, []byte("three"), "agent-1"), "an older version from the store")
	require.False(t, n.Update(4, []byte("again"), "agent-1"))
	require.Equal(t, "store", n.Source())
	require.True(t, n.Update(9, []byte("nine"), "agent-1"))
	v, data := n.Get()
	require.Equal(t, int64(9), v)
	require.Equal(t, "nine", string(data))
	require.Equal(t, "agent-1", n.Source())
}

func TestTheLatestConfirmationIsKept(t *testing.T) {
	var n newest.Newest
	require.True(t, n.Confirmed().IsZero())
	n.Confirm(time.Unix(20, 0), time.Unix(21, 0), 4)
	n.Confirm(time.Unix(10, 0), time.Unix(20, 0), 3)
	require.Equal(t, time.Unix(20, 0), n.Confirmed())
	require.Equal(t, time.Unix(21, 0), n.Received())
	require.Equal(t, int64(4), n.Position())
}
