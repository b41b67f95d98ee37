package stale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRegistrationsWithoutRenewalAreGone(t *testing.T) {
	now := time.Unix(100_000, 0)
	list := []Registration{
		{"self", now.Add(-2 * goneAfter)},
		{"renewed", now.Add(-RenewInterval)},
		{"missed-some", now.Add(-3 * RenewInterval)},
		{"clock-ahead", now.Add(time.Hour)},
		{"gone", now.Add(-goneAfter - time.Second)},
		{"never-renewed", time.UnixMilli(0)},
	}
	require.Equal(t, []string{"gone", "never-renewed"}, Gone(now, "self", list))
}
