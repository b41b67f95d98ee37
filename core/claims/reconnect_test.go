package claims_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/claims"
)

// TestANewConnectionIsToldOfTheClaimsThatHold guards against claims that come too late on a connection that was reset: the claims that have
// ended but are still kept must not precede them.
func TestANewConnectionIsToldOfTheClaimsThatHold(t *testing.T) {
	const ended = 1000 // in the last 9 s: 111 a second
	var c claims.Claims
	now := start
	for i := range ended {
		require.True(t, c.Receive(now, claims.Claim{Job: "old", Holder: 1, Serial: uint64(i + 1), Until: now.Add(700 * time.Millisecond)}))
		now = now.Add(9 * time.Millisecond)
		c.Expire(now)
	}
	now = now.Add(700 * time.Millisecond)
	c.Expire(now)
	require.True(t, c.Receive(now, claims.Claim{Job: "new", Holder: 2, Serial: 1, Until: now.Add(690 * time.Millisecond)}))
	list, _ := c.After(now, 0)
	require.Len(t, list, 1)
	require.Equal(t, "new", list[0].Job)
}
