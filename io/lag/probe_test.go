package lag

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startProcess serves a process state with the version that the test sets.
func startProcess(t *testing.T, version *atomic.Int64) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"config-version":%d}`, version.Load())
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestAwaitRecordsLagOfEachProcess(t *testing.T) {
	var fast, slow atomic.Int64
	fast.Store(7)
	p := New([]string{startProcess(t, &fast), startProcess(t, &slow)}, "")
	time.AfterFunc(2*pollInterval, func() { slow.Store(7) })
	require.NoError(t, p.Await(t.Context(), 7, time.Now()))
	recorded, missed := p.Observed()
	require.EqualValues(t, 2, recorded)
	require.Zero(t, missed)
	require.Equal(t, p.processes[1], p.Slowest())
	require.GreaterOrEqual(t, p.Quantile(100), 2*pollInterval)
}

func TestAwaitReportsProcessThatMissed(t *testing.T) {
	var stuck atomic.Int64
	p := New([]string{startProcess(t, &stuck)}, "")
	err := p.Await(t.Context(), 7, time.Now().Add(-awaitTimeout))
	require.ErrorContains(t, err, p.processes[0]+": version 7 is not in force")
	_, missed := p.Observed()
	require.Equal(t, 1, missed)
}
