package schedd

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/batch"
	"persimmonstage/core/jobend"
	"persimmonstage/core/newest"
	"persimmonstage/core/route"
	"persimmonstage/core/strain"
	"persimmonstage/io/uptime"
)

// TestALateEntryRefusesOnlyJobsThatItDoesNotKnow guards against refusals that aren't true: a request that comes once more while its job runs
// must not be told that it never runs.
func TestALateEntryRefusesOnlyJobsThatItDoesNotKnow(t *testing.T) {
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), prometheus.NewRegistry())
	now := uptime.Now()
	rt := &route.Route{Name: "q", Service: "s", MaxAttempts: 2, BaseObjective: time.Second, Stretch: 1.5}
	outcomes := map[string]jobend.Outcome{}
	submit := func(id string, delay time.Duration) {
		b := &batch.Batch{ID: id, Route: rt, Tasks: 1, Declared: time.Second, Deadline: now.Add(5 * time.Second)}
		d.submit(now, now.Add(-delay), b, func(o jobend.Outcome) { outcomes[id] = o })
	}
	submit("known", 0)
	require.NotContains(t, outcomes, "known")
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		d.isOverloaded(now, now.Add(-300*time.Millisecond), (*strain.Strain).Observe)
	}
	submit("new", 80*time.Millisecond)
	require.Equal(t, jobend.Refused, outcomes["new"].Kind)
	require.Equal(t, "overloaded", outcomes["new"].Reason)
	submit("known", 80*time.Millisecond)
	require.NotContains(t, outcomes, "known", "it goes on waiting for its outcome")
}
