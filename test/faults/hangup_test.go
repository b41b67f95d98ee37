package faults

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/test/fleet"
)

// writeRequest writes a submission to a connection without waiting for the answer.
func writeRequest(t *testing.T, c net.Conn, body []byte) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
}

// Two pipelined requests on one connection must be answered in order, though the first takes longer. A caller that disconnects
// and resubmits must get the whole answer without a second start.
func TestCallersThatReuseAConnectionOrHangUp(t *testing.T) {
	f := fleet.New(t, 2, 2)
	slow, deadline := job(t, "slow", "sort", 2, 600, lifetime)
	quick, _ := job(t, "quick", "sort", 3, 1, lifetime)
	c, err := net.Dial("tcp", f.HTTP["entry-1"])
	require.NoError(t, err)
	defer c.Close()
	writeRequest(t, c, slow)
	writeRequest(t, c, quick)
	r := bufio.NewReader(c)
	for _, want := range []struct {
		id    string
		tasks int
	}{{"slow", 2}, {"quick", 3}} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		got := decode(t, resp)
		require.Len(t, got.Results, want.tasks)
		require.Equal(t, want.id+"/0", string(got.Results[0]))
	}

	abandoned, deadline := job(t, "gone", "sort", 2, 400, time.Until(deadline))
	h, err := net.Dial("tcp", f.HTTP["entry-1"])
	require.NoError(t, err)
	writeRequest(t, h, abandoned)
	f.Await("the job has started", func() bool { return f.AllStarts(2)["kits/gone/0"] == 1 })
	require.NoError(t, h.Close())
	_, again, _ := post(t, f, "entry-2", abandoned, deadline)
	require.Equal(t, "complete", again.Outcome, again.Reason)
	for task, n := range f.AllStarts(2) {
		require.Equal(t, 1, n, task)
	}
}
