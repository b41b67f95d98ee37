package cause_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/cause"
)

func TestEachCauseHasSentences(t *testing.T) {
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	seen := map[string]cause.Cause{}
	for _, c := range cause.All() {
		require.Regexp(t, kebab, string(c))
		plain, named := c.Sentence(""), c.Sentence("SUBJECT")
		require.NotContains(t, plain, "%", c)
		require.NotContains(t, named, "%", c)
		require.Equal(t, 1, strings.Count(named, "SUBJECT"), c)
		require.True(t, strings.HasSuffix(plain, "."), c)
		require.True(t, strings.HasSuffix(named, "."), c)
		require.Empty(t, seen[plain], "two causes share a sentence: %s", c)
		seen[plain] = c
	}
}

func TestUnknownCauseIsHarmfulAndInItsSentence(t *testing.T) {
	c := cause.Cause("from-a-newer-version")
	require.False(t, c.Known())
	require.True(t, c.Harmful())
	require.Contains(t, c.Sentence(""), "from-a-newer-version")
	require.Contains(t, c.Sentence("x"), "x.")
}

func TestEmptyCauseIsNotHarmful(t *testing.T) {
	require.False(t, cause.Cause("").Harmful())
	require.False(t, cause.Cancelled.Harmful())
	require.True(t, cause.Cancelled.CallerCaused())
	require.False(t, cause.ConfigApplied.Harmful())
}

func TestReasonsMapToKnownCauses(t *testing.T) {
	for _, reason := range []string{
		"deadline", "deadline-too-near", "no-room", "entry-full", "share-full", "queue-full", "too-large", "memory-short",
		"owner-lost", "owner-changed", "no-majority", "task-failed", "target-lost", "over-quota", "never-fits", "lease-lapsed",
	} {
		require.True(t, cause.FromReason(reason).Known(), reason)
		require.True(t, cause.FromReason(reason).Harmful(), reason)
	}
	require.Equal(t, cause.Cause("new"), cause.FromReason("new"))
	require.Equal(t, cause.IDConflict, cause.FromStatus(409))
	require.Equal(t, cause.BadRequest, cause.FromStatus(413))
	require.Equal(t, cause.Unauthorised, cause.FromStatus(401))
	require.Empty(t, cause.FromStatus(429))
}
