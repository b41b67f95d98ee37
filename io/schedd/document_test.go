package schedd

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/newest"
	"persimmonstage/io/uptime"
	"persimmonstage/io/wire"
)

// newConnectedDaemon returns a daemon that an agent has been connected to for longer than its own reads take.
func newConnectedDaemon(now time.Time) (*Daemon, *link, *prometheus.Registry) {
	reg := prometheus.NewRegistry()
	d := New(Config{Name: "e", Address: "10.0.0.9:80"}, &newest.Newest{}, zap.NewNop(), reg)
	l := &link{conn: 1, name: "a"}
	d.byName["a"] = l
	d.requestDocument(now.Add(-5 * time.Second))
	return d, l, reg
}

// requests returns the number of requests to agents.
func requests(t *testing.T, reg *prometheus.Registry) float64 {
	t.Helper()
	families, err := reg.Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() == "persimmonstage_configuration_requests_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.Fail(t, "no counter of requests")
	return 0
}

// TestAnEntryThatTheStoreAnswersAsksNoAgent guards against reads by agents after each change: an answer that brings a change at the end
// of a waiting read confirms the time at which that read was sent, which is 0.9 s before.
func TestAnEntryThatTheStoreAnswersAsksNoAgent(t *testing.T) {
	now := uptime.Now()
	d, _, reg := newConnectedDaemon(now)
	d.doc.Confirm(now.Add(-1800*time.Millisecond), now.Add(-900*time.Millisecond), 4)
	d.requestDocument(now)
	require.Zero(t, requests(t, reg))
	d.requestDocument(now.Add(time.Second))
	require.InDelta(t, 1, requests(t, reg), 0)
}

// TestOnlyAnAnswerForTheNewestVersionConfirms guards against an entry that takes its configuration as confirmed by the wrong answer.
func TestOnlyAnAnswerForTheNewestVersionConfirms(t *testing.T) {
	now := uptime.Now()
	d, l, _ := newConnectedDaemon(now)
	stamp := now.Add(-time.Millisecond).UnixNano()
	for _, m := range []*wire.Document{
		{Version: 7, Data: []byte("seven")},
		{Version: 9, Stamp: stamp}, // its document is missing
		{Version: 7, Stamp: now.Add(time.Second).UnixNano()},
	} {
		d.takeDocument(now, l, m)
		require.Zero(t, d.doc.Confirmed())
	}
	require.Equal(t, int64(7), d.doc.Version())
	d.takeDocument(now, l, &wire.Document{Version: 7, Stamp: stamp, Position: 4})
	require.Equal(t, time.Unix(0, stamp), d.doc.Confirmed())
	require.Equal(t, "a", d.doc.Source())
}
