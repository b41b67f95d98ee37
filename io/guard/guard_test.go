package guard_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"persimmonstage/core/intake"
	"persimmonstage/io/guard"
	"persimmonstage/io/uptime"
)

const (
	bodyLimit = 100_000
	testTime  = 20 * time.Second
)

type connKey struct{}

// idle has an item for each connection that has begun to wait for its next request.
var idle = make(chan struct{}, 1000)

// serve serves requests with guarded connections; an answer holds the error, or the size and the sum of the body.
func serve(t *testing.T, l intake.Limits, bodyTime time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: testTime,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, _ := r.Context().Value(connKey{}).(*guard.Conn)
			if r.ContentLength != 0 {
				c.Begin(r.ContentLength, uptime.Now().Add(bodyTime))
			}
			body, err := c.ReadBody(r.Body, r.ContentLength, bodyLimit)
			defer c.Release()
			if err == nil {
				err = c.Serve()
			}
			if err != nil {
				w.Header().Set("Connection", "close")
				http.Error(w, fmt.Sprint("error: ", err), http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write(summary(body))
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*guard.Conn).Await()
				idle <- struct{}{}
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(guard.New("test", l, zap.NewNop()).Listener(ln)) }()
	return ln.Addr().String()
}

func summary(body []byte) []byte { return fmt.Appendf(nil, "%d %x", len(body), sha256.Sum256(body)) }

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTime)))
	return conn
}

func answer(t *testing.T, r *bufio.Reader) (int, string) {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// TestRequestsArriveAsSent guards against bytes that are lost or attributed to another request: requests follow each other on one
// connection, with bodies of declared and of unknown length, in random pieces.
func TestRequestsArriveAsSent(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 7))
		conn := dial(t, serve(t, intake.Limits{}, testTime))
		var sent []byte
		var want []string
		for range 30 {
			body := make([]byte, []int{0, 1, 300, 5000, 60_000, bodyLimit}[rng.IntN(6)])
			for i := range body {
				body[i] = "\r\n:a{"[rng.IntN(5)]
			}
			want = append(want, string(summary(body)))
			sent = append(sent, "POST / HTTP/1.1\r\nHost: h\r\n"...)
			if rng.IntN(2) == 0 {
				sent = append(sent, "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"...)
				sent = append(sent, body...)
				continue
			}
			sent = append(sent, "Transfer-Encoding: chunked\r\n\r\n"...)
			for size := 1 + rng.IntN(9000); len(body) > 0; body = body[min(size, len(body)):] {
				chunk := body[:min(size, len(body))]
				sent = fmt.Appendf(sent, "%x\r\n%s\r\n", len(chunk), chunk)
			}
			sent = append(sent, "0\r\n\r\n"...)
		}
		go func() {
			for len(sent) > 0 {
				n := min(1+rng.IntN(10_000), len(sent))
				if _, err := conn.Write(sent[:n]); err != nil {
					return
				}
				sent = sent[n:]
			}
		}()
		for r := bufio.NewReader(conn); len(want) > 0; want = want[1:] {
			status, body := answer(t, r)
			require.Equal(t, http.StatusOK, status, "seed %d", seed)
			require.Equal(t, want[0], body, "seed %d", seed)
		}
	}
}

func TestHeaderLinesAreBounded(t *testing.T) {
	addr := serve(t, intake.Limits{}, testTime)
	for lines, want := range map[int]int{100: http.StatusOK, 130: http.StatusBadRequest} {
		conn := dial(t, addr)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", lines)+"\r\n")
		require.NoError(t, err)
		status, _ := answer(t, bufio.NewReader(conn))
		require.Equal(t, want, status)
	}
}

func TestABodyThatDoesNotArriveIsRefused(t *testing.T) {
	conn := dial(t, serve(t, intake.Limits{}, 50*time.Millisecond))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123")
	require.NoError(t, err)
	status, body := answer(t, bufio.NewReader(conn))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, guard.ErrLate.Error())
}

// TestTheLargestRequestIsGivenUpForAnother checks that a request which waits for its end makes room for one that arrives, and is answered.
func TestTheLargestRequestIsGivenUpForAnother(t *testing.T) {
	addr := serve(t, intake.Limits{Bytes: bodyLimit}, testTime)
	head := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(bodyLimit) + "\r\n\r\n")
	body := bytes.Repeat([]byte("x"), bodyLimit)
	slow, quick := dial(t, addr), dial(t, addr)
	_, err := slow.Write(append(head, body[1:]...))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // it is read meanwhile, else the other one may be given up
	_, err = quick.Write(append(head, body...))
	require.NoError(t, err)
	status, sum := answer(t, bufio.NewReader(quick))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, string(summary(body)), sum)
	status, reason := answer(t, bufio.NewReader(slow))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, reason, guard.ErrGivenUp.Error())
}

// silentConn is a connection whose other side reads nothing until the time for a write is over.
type silentConn struct {
	net.Conn
	until time.Time
}

func (c *silentConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (c *silentConn) SetWriteDeadline(t time.Time) error { c.until = t; return nil }

func (c *silentConn) Write([]byte) (int, error) {
	if c.until.IsZero() {
		panic("a write without an end")
	}
	c.until = time.Time{}
	return 0, os.ErrDeadlineExceeded
}

// silentListener accepts a silentConn.
type silentListener struct{ net.Listener }

func (silentListener) Accept() (net.Conn, error) { return &silentConn{}, nil }

// TestEachWriteHasAnEnd guards against callers who don't read and keep connections that can't be closed for others.
func TestEachWriteHasAnEnd(t *testing.T) {
	conn, err := guard.New("test", intake.Limits{}, zap.NewNop()).Listener(silentListener{}).Accept()
	require.NoError(t, err)
	for range 2 {
		_, err = conn.Write([]byte("x"))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// TestChunksOfOneByteAreBounded guards against bodies whose framing takes the processor: one of the largest size is read, and the next one
// is refused at once if its framing can't be read in time.
func TestChunksOfOneByteAreBounded(t *testing.T) {
	addr := serve(t, intake.Limits{Framing: 1}, testTime)
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", bodyLimit) + "0\r\n\r\n")
	for _, want := range []string{string(summary(bytes.Repeat([]byte("x"), bodyLimit))), "chunks too small"} {
		conn := dial(t, addr)
		go func() { _, _ = conn.Write(request) }() // fails if the request is refused
		_, body := answer(t, bufio.NewReader(conn))
		require.Contains(t, body, want)
	}
}

func TestANewConnectionClosesTheOldestIdleOne(t *testing.T) {
	for len(idle) > 0 {
		<-idle
	}
	addr := serve(t, intake.Limits{Conns: 2}, testTime)
	var conns []net.Conn
	for range 3 {
		conn := dial(t, addr)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		status, _ := answer(t, bufio.NewReader(conn))
		require.Equal(t, http.StatusOK, status)
		conns = append(conns, conn)
		<-idle // which comes after the answer
	}
	_, err := conns[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(conns[1], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	status, _ := answer(t, bufio.NewReader(conns[1]))
	require.Equal(t, http.StatusOK, status)
}
