package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/claims"
)

func TestAClaimEndsNoEarlierForTheReceiver(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(7000, 0)
	for _, left := range []time.Duration{-time.Second, 0, 1, time.Millisecond, 1500 * time.Microsecond, time.Hour} {
		c := claims.Claim{Job: "j", Holder: 1 << 63, Serial: 7, Until: sent.Add(left)}
		got := NewClaims(sent, []claims.Claim{c})[0].Claim(received)
		require.GreaterOrEqual(t, got.Until.Sub(received), left)
		require.LessOrEqual(t, got.Until.Sub(received), max(0, left)+time.Millisecond)
		got.Until = c.Until
		require.Equal(t, c, got)
	}
	require.Zero(t, LeftMS(sent, time.Time{}))
	require.True(t, EndOf(received, 0).IsZero())
}
