package terms_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/runs"
	"persimmonstage/core/terms"
)

var read = time.Unix(1000, 0)

func usual(t *testing.T) terms.Terms {
	out, err := terms.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	require.NoError(t, err)
	return out
}

// TestLimitOfATermThatIsTooShort guards against processes that serve although a lost submission's runs may outlast its repetition.
func TestLimitOfATermThatIsTooShort(t *testing.T) {
	for _, c := range []struct {
		resubmission, lease, stop time.Duration
		term                      string
	}{
		{runs.Expiry - time.Millisecond, time.Second, 50 * time.Millisecond, terms.Resubmission},
		{1300 * time.Millisecond, runs.Lease - time.Millisecond, 50 * time.Millisecond, terms.Lease},
		{1300 * time.Millisecond, time.Second, 200 * time.Millisecond, terms.Stop},
	} {
		_, err := terms.New(c.resubmission, c.lease, c.stop)
		var limit *terms.LimitError
		require.True(t, errors.As(err, &limit), c.term)
		require.Equal(t, c.term, limit.Term)
		require.Contains(t, err.Error(), c.term)
	}
}

func TestResubmissionCountsFromTheReading(t *testing.T) {
	require.Equal(t, read.Add(1300*time.Millisecond), usual(t).ResubmitAt(read))
	require.True(t, terms.Terms{}.ResubmitAt(read).IsZero())
}
