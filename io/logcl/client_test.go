package logcl

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"persimmonstage/io/logsrv"
)

// callTimeout limits calls that are expected to succeed; no assertion depends on its length.
const callTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func startServer(t *testing.T, count int) (*logsrv.Server, *Client, context.Context) {
	t.Helper()
	s, err := logsrv.Start("127.0.0.1:0", count, 0)
	require.NoError(t, err)
	c := New(s.Addr())
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(func() {
		cancel()
		c.Close()
		require.NoError(t, s.Close())
	})
	return s, c, ctx
}

func setFaults(t *testing.T, s *logsrv.Server, body string) int {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.Addr()+"/v1/faults", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func requireOutage(t *testing.T, err error) *OutageError {
	t.Helper()
	var e *OutageError
	require.True(t, errors.As(err, &e), "%v", err)
	return e
}

func TestAppendAndRead(t *testing.T) {
	_, c, ctx := startServer(t, 3)
	for i, text := range []string{"a", "b", "c", "d"} {
		offset, err := c.Append(ctx, "config", []byte(text))
		require.NoError(t, err)
		require.EqualValues(t, i+1, offset)
	}
	records, next, err := c.Read(ctx, "config", 3, 1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 5, next)
	require.Len(t, records, 1)
	require.EqualValues(t, 3, records[0].Offset())
	require.Equal(t, "c", string(records[0].Data()))

	_, _, err = c.Read(ctx, "config", 1, 10, 0)
	var truncated *TruncatedError
	require.True(t, errors.As(err, &truncated), "%v", err)
	require.EqualValues(t, 2, truncated.First())
}

func TestReadWaitsForTheNextRecord(t *testing.T) {
	_, c, ctx := startServer(t, 10)
	got := make(chan []Record, 1)
	go func() {
		records, _, _ := c.Read(ctx, "a", 1, 10, callTimeout)
		got <- records
	}()
	_, err := c.Append(ctx, "a", []byte("x"))
	require.NoError(t, err)
	require.Len(t, <-got, 1)
}

func TestLostAnswerDoesNotAppendTwice(t *testing.T) {
	s, c, ctx := startServer(t, 10)
	_, err := c.Append(ctx, "a", []byte("warm the connection"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, setFaults(t, s, `{"lose-answers": 1}`))
	_, err = c.Append(ctx, "a", []byte("x"))
	require.True(t, requireOutage(t, err).MaybeApplied())
	_, next, err := c.Read(ctx, "a", 1, 10, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, next)
}

func TestOutageReportsWhetherTheAppendMayHaveBeenApplied(t *testing.T) {
	s, c, ctx := startServer(t, 10)
	setFaults(t, s, `{"down": true}`)
	_, err := c.Append(ctx, "a", []byte("x"))
	require.False(t, requireOutage(t, err).MaybeApplied())
	_, _, err = c.Read(ctx, "a", 1, 10, 0)
	requireOutage(t, err)

	setFaults(t, s, `{"pause": true}`)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = c.Append(short, "a", []byte("x"))
	require.True(t, requireOutage(t, err).MaybeApplied())
	setFaults(t, s, `{}`)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	_, err = New(ln.Addr().String()).Append(ctx, "a", nil)
	require.False(t, requireOutage(t, err).MaybeApplied())
}

func TestBadRequestsAreRefused(t *testing.T) {
	s, c, ctx := startServer(t, 10)
	_, err := c.Append(ctx, "Bad Name", nil)
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, http.StatusNotFound, refused.Status())
	_, _, err = c.Read(ctx, "a", 1, 100_000, 0)
	require.ErrorContains(t, err, `max="100000": must be an integer between 0 and 1000`)
	require.Equal(t, http.StatusBadRequest, setFaults(t, s, `{"dwon": true}`))
}
