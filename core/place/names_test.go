package place_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/place"
)

func TestPolicyNamesRoundTrip(t *testing.T) {
	named := 0
	for _, p := range policies {
		if p.delay {
			continue // a setting of the Placer with a policy that is listed already
		}
		named++
		require.Equal(t, p.name, p.p.String())
		got, ok := place.ParsePolicy(p.name)
		require.True(t, ok)
		require.Equal(t, p.p, got)
	}
	require.Len(t, place.PolicyNames(), named)
	_, ok := place.ParsePolicy("other")
	require.False(t, ok)
}
