package place_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/place"
)

func TestEveryPolicyHasItsName(t *testing.T) {
	for _, p := range policies {
		require.Equal(t, p.name, p.p.String())
		got, ok := place.Named(p.name)
		require.True(t, ok)
		require.Equal(t, p.p, got)
	}
	require.Len(t, place.Names(), len(policies))
	_, ok := place.Named("other")
	require.False(t, ok)
}
