package claims_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/claims"
)

var start = time.Unix(1000, 0)

func claim(job string, holder, serial uint64, d time.Duration) claims.Claim {
	return claims.Claim{Job: job, Holder: holder, Serial: serial, Until: start.Add(d)}
}

func TestAClaimBarsOthersUntilItsEnd(t *testing.T) {
	var own, other claims.Claims
	own.Make(start, claim("j", 1, 1, time.Second))
	require.True(t, own.Until("j").IsZero(), "a process isn't barred by itself")
	list, _ := own.After(start, 0)
	require.Len(t, list, 1)
	require.True(t, other.Receive(start, list[0]))
	require.False(t, other.Receive(start, list[0]), "each is new once")
	require.Equal(t, start.Add(time.Second), other.Until("j"))
	require.False(t, own.Receive(start, list[0]), "it comes back from the agents")
	require.True(t, own.Until("j").IsZero())
	other.Expire(start.Add(time.Second))
	require.True(t, other.Until("j").IsZero())
	list, _ = other.After(start.Add(time.Second), 0)
	require.Empty(t, list, "what doesn't hold any more isn't passed on")
}

func TestAJobThatIsClaimedAgainIsPassedOnAgain(t *testing.T) {
	var c claims.Claims
	require.True(t, c.Receive(start, claim("j", 1, 1, time.Second)))
	_, pos := c.After(start, 0)
	require.True(t, c.Receive(start, claim("j", 2, 1, 2*time.Second)))
	require.True(t, c.Receive(start, claim("j", 1, 2, 3*time.Second)))
	list, _ := c.After(start, pos)
	require.Len(t, list, 2)
	require.Equal(t, start.Add(3*time.Second), c.Until("j"))
	require.False(t, c.Receive(start.Add(4*time.Second), claim("j", 3, 1, 2*time.Second)), "it has ended")
}

// TestAnAbsurdClaimBarsNothingForLong guards against a job that no entry starts any more, and against memory that grows.
func TestAnAbsurdClaimBarsNothingForLong(t *testing.T) {
	var c claims.Claims
	require.True(t, c.Receive(start, claim("j", 1, 1, 49*24*time.Hour)))
	require.LessOrEqual(t, c.Until("j").Sub(start), 10*time.Second)
	require.False(t, c.Receive(start, claim(strings.Repeat("j", 65), 1, 2, time.Second)))
}
