package stepped

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/admit"
	"persimmonstage/core/mix"
	"persimmonstage/core/score"
)

// The jobs of a team over its quota of starts are admitted for a later time, and none of their tasks may start before it.
func TestNoTaskIsSentBeforeTheQuotaCoversIt(t *testing.T) {
	const each = 10 // starts per second at each owner
	f := newFleet(1, 1)
	for _, e := range f.entries {
		e.gate.SetQuota("a", admit.Quota{Starts: each, Burst: 1})
	}
	k := &mix.Kind{Team: "a", Name: "renewal", Window: time.Minute}
	for range 5 * each * fleetOwners {
		f.submit(&mix.Job{Kind: k, Work: []time.Duration{time.Millisecond}})
	}
	begun := f.now
	for s := 1; s <= 4; s++ {
		f.run(begun.Add(time.Duration(s) * time.Second))
		require.LessOrEqual(t, f.starts, (s*each+2)*fleetOwners, "starts after %d s", s)
	}
	f.run(begun.Add(10 * time.Second))
	require.Equal(t, 5*each*fleetOwners, f.score.Rows()[0].Outcomes[score.Complete])
}
