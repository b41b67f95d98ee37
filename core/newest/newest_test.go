package newest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/newest"
)

func TestVersionsOnlyRise(t *testing.T) {
	var n newest.Newest
	require.Zero(t, n.Version())
	require.True(t, n.Update(4, []byte("four")))
	require.False(t, n.Update(3, []byte("three")), "an older version from the store")
	require.False(t, n.Update(4, []byte("again")))
	require.True(t, n.Update(9, []byte("nine")))
	v, data := n.Get()
	require.Equal(t, int64(9), v)
	require.Equal(t, "nine", string(data))
}
