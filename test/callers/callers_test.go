package callers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowd is the callers' connections, for which the descriptors of the settings suffice; they don't for those of largeCrowd.
	crowd      = 88
	largeCrowd = 140
	// headerBytes is the size of a request's header that net/http still reads.
	headerBytes = 20_000
	writeTime   = 15 * time.Second
	pieceBytes  = 4 << 10
	// unreadAnswers is how many requests a caller sends without reading the answers.
	unreadAnswers = 40_000
	// heartbeatBytes is the largest heartbeat that the pages allow.
	heartbeatBytes = 4 << 20
)

// send sends to an address on n connections at once what request returns for each, a piece at a time, and leaves the connections open
// until the test ends. The process may close them.
func send(t *testing.T, addr string, n, piece int, request func(i int) []byte) {
	t.Helper()
	requests := make([][]byte, n)
	for i := range requests {
		requests[i] = request(i)
	}
	var done sync.WaitGroup
	for _, rest := range requests {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(writeTime))
		done.Go(func() {
			for len(rest) > 0 {
				size := min(piece, len(rest))
				if _, err := conn.Write(rest[:size]); err != nil {
					return
				}
				rest = rest[size:]
			}
		})
	}
	done.Wait()
}

// head returns the begin of a job's header.
func head(i int) []byte {
	return fmt.Appendf(nil, "POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nX-Persimmonstage-Deadline-Ms: 60000\r\n", i+1)
}

// fill appends lines until the header's size is limit.
func fill(header []byte, limit int, line func(i int) string) []byte {
	for i := 0; ; i++ {
		l := line(i)
		if len(header)+len(l) > limit {
			return header
		}
		header = append(header, l...)
	}
}

// Characters of the names of header lines.
const (
	letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	signs   = "!#$%&'*+-.^_`|~0123456789"
)

// name returns a short name of the i-th header line, which no other one has.
func name(i int, chars string) string {
	n := len(chars)
	return string([]byte{chars[i%n], chars[i/n%n], chars[i/n/n]})
}

// shortLine returns the shortest header line with a name of its own.
func shortLine(i int) string { return name(i, letters) + ":\n" }

// oddLine returns a header line with an odd name and no value; some are folded.
func oddLine(i int) string {
	const folded, blank = 16, 8
	switch {
	case i%folded == 0:
		return name(i, signs) + ":\n \n"
	case i%blank == 0:
		return name(i, signs) + ": \t\n"
	}
	return name(i, signs) + ":\n"
}

// job returns a body of the size of the limit which holds a job.
func job() []byte {
	body := []byte(`{"best-effort":true,"phases":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900}],"spec":"x"}`)
	return append(body, bytes.Repeat([]byte{' '}, bodyBytes-len(body))...)
}

func withLength(i int, body []byte) []byte {
	return inOnePiece(head(i), body)
}

// inOnePiece returns a request with the begin of its header and a body of declared length.
func inOnePiece(header, body []byte) []byte {
	return append(fmt.Appendf(header, "Content-Length: %d\r\n\r\n", len(body)), body...)
}

// chunked returns a request whose body comes in chunks of a size.
func chunked(i int, body []byte, size int) []byte {
	return inChunks(head(i), body, size)
}

// inChunks returns a request with the begin of its header and a body in chunks of a size.
func inChunks(header, body []byte, size int) []byte {
	out := append(header, "Transfer-Encoding: chunked\r\n\r\n"...)
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		chunk := body[:min(size, len(body))]
		out = append(strconv.AppendInt(out, int64(len(chunk)), 16), "\r\n"...)
		out = append(append(out, chunk...), "\r\n"...)
	}
	return append(out, "0\r\n\r\n"...)
}

// short cuts off the end of all requests but each eighth.
func short(i int, request []byte) []byte {
	const whole, missing = 8, 7
	if i%whole == 0 {
		return request
	}
	return request[:len(request)-missing]
}

// TestManyShortHeaderLines guards against headers that cost much more memory than their bytes: net/http keeps an entry of a map for
// each of thousands of lines.
func TestManyShortHeaderLines(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte {
		return short(i, append(fill(head(i), headerBytes, shortLine), "\r\n\r\n"...))
	})
	s.requireBounds()
}

// TestManyShortHeaderLinesBeforeABody guards against such headers that are kept while a body is awaited.
func TestManyShortHeaderLinesBeforeABody(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte {
		return append(fill(append(head(i), "Content-Length: 900\r\n"...), headerBytes, shortLine), "\r\n{"...)
	})
	s.requireBounds()
}

// TestOddHeaderLines guards against lines without a value, odd names and folded lines.
func TestOddHeaderLines(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte {
		header := append(head(i), "Content-Length: 900\r\n"...)
		return append(fill(header, headerBytes, oddLine), "\r\n{"...)
	})
	s.requireBounds()
}

// TestHeaderLinesOfTheNextRequest guards against header lines that come together with the request before.
func TestHeaderLinesOfTheNextRequest(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, headerBytes, func(i int) []byte {
		first := "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"
		return append([]byte(first), fill(append(head(i), "Content-Length: 900\r\n"...), headerBytes-len(first), shortLine)...)
	})
	s.requireBounds()
}

// TestLargeBodiesAtOnce guards against bodies whose buffers together exceed the memory, of callers that wait for an answer.
func TestLargeBodiesAtOnce(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, bodyBytes, func(i int) []byte { return withLength(i, job()) })
	s.requireBounds()
}

// TestLargeBodiesShortOfTheirEnd guards against bodies that come piece by piece and never end.
func TestLargeBodiesShortOfTheirEnd(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte { return short(i, withLength(i, job())) })
	s.requireBounds()
}

// TestLargeChunksShortOfTheirEnd guards against the same with a length that isn't declared.
func TestLargeChunksShortOfTheirEnd(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte { return short(i, chunked(i, job(), bodyBytes/4)) })
	s.requireBounds()
}

// TestSmallChunksShortOfTheirEnd guards against the same in chunks of four bytes.
func TestSmallChunksShortOfTheirEnd(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, crowd, pieceBytes, func(i int) []byte { return short(i, chunked(i, job(), 4)) })
	s.requireBounds()
}

// TestBodiesOfManySteps guards against bodies that cost much more memory than their bytes once they are decoded.
func TestBodiesOfManySteps(t *testing.T) {
	s := startSystem(t)
	const begin, end = `{"best-effort":true,"spec":"x","phases":[{"count":1}`, `]}`
	body := begin + strings.Repeat(",{}", (bodyBytes-len(begin)-len(end))/3) + end
	send(t, s.front, crowd, bodyBytes, func(i int) []byte { return withLength(i, []byte(body)) })
	s.requireBounds()
}

// TestAnswersThatAreNotRead guards against answers that pile up in the kernel for callers who send requests and read nothing.
func TestAnswersThatAreNotRead(t *testing.T) {
	s := startSystem(t)
	requests := strings.Repeat("GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", unreadAnswers)
	var sent sync.WaitGroup
	t.Cleanup(sent.Wait) // after the connections were closed
	for range crowd {
		conn, err := net.Dial("tcp", s.front)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		sent.Go(func() { _, _ = io.WriteString(conn, requests) }) // blocks until the connection is closed, unless all is read
	}
	s.entry.settle()
	unread, unsent := kernelMB(t, s.front)
	t.Logf("unread %d MB, unsent %d MB", unread, unsent)
	require.LessOrEqual(t, s.entry.peakMB()+unread+unsent, memoryMB, "memory at its peak and in the kernel, in MB")
	s.requireBounds()
}

// TestMoreConnectionsThanDescriptors guards against callers who use up the descriptors, which agents and the store need too.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	s := startSystem(t)
	send(t, s.front, largeCrowd, pieceBytes, func(i int) []byte { return head(i) })
	s.requireBounds()
}

// TestMoreChecksThanDescriptors guards against the same at the port for readiness checks.
func TestMoreChecksThanDescriptors(t *testing.T) {
	s := startSystem(t)
	send(t, s.ready, largeCrowd, pieceBytes, func(int) []byte { return []byte("GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n") })
	s.requireBounds()
	requireOK(t, "http://"+s.ready+"/api/ready")
}

// TestMoreConnectionsThanDescriptorsAtTheInternalPort guards against the same at the port for agents and other entries.
func TestMoreConnectionsThanDescriptorsAtTheInternalPort(t *testing.T) {
	s := startSystem(t)
	send(t, s.internalOfBoth[0], largeCrowd, pieceBytes, func(int) []byte { return []byte{0} })
	s.requireBounds()
}

// TestMoreReadersOfMetricsThanDescriptors guards against the same at the ports for metrics.
func TestMoreReadersOfMetricsThanDescriptors(t *testing.T) {
	s := startSystem(t)
	for _, addr := range []string{s.entryMetrics, s.agentMetrics} {
		send(t, addr, largeCrowd, pieceBytes, func(int) []byte { return []byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n") })
	}
	s.requireBounds()
	s.agent.requireBounds(s.requireServed)
	requireOK(t, "http://"+s.entryMetrics+"/metrics")
	requireOK(t, "http://"+s.agentMetrics+"/metrics")
}

func requireOK(t *testing.T, url string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	require.NoError(t, requestOK(req))
}

// TestLargeHeartbeatsShortOfTheirEnd guards against heartbeats of legal size that never end, at an agent.
func TestLargeHeartbeatsShortOfTheirEnd(t *testing.T) {
	s := startSystem(t)
	send(t, s.control, crowd/4, pieceBytes, func(i int) []byte {
		body := append([]byte("{}"), bytes.Repeat([]byte{' '}, heartbeatBytes-2)...)
		head := fmt.Appendf(nil, "POST /api/instances/i-%d/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", i+1, len(body))
		return short(i, append(head, body...))
	})
	s.agent.requireBounds(func() {
		require.NoError(t, s.announce(), "the target's heartbeat isn't answered")
		s.requireServed()
	})
}

// TestMoreHeartbeatsThanDescriptors guards against connections at an agent's address that use up its descriptors.
func TestMoreHeartbeatsThanDescriptors(t *testing.T) {
	s := startSystem(t)
	send(t, s.control, largeCrowd, pieceBytes, func(int) []byte { return []byte("POST /api/instances/i-1/heartbeat HTTP/1.1\r\nHost: h\r\n") })
	s.agent.requireBounds(func() {
		require.NoError(t, s.announce(), "the target's heartbeat isn't answered")
		s.requireServed()
	})
}

// TestRefusals checks that callers whose requests are given up are told that nothing has run and when to come back.
func TestRefusals(t *testing.T) {
	s := startSystem(t)
	refused := answers(t, s.entry, s.front, func(i int) []byte { return short(1, withLength(i, job())) })
	for _, a := range refused {
		require.Contains(t, a, " 503 ")
		require.Contains(t, a, "Retry-After: 1")
		require.Contains(t, a, "not run")
	}
	s.requireBounds()
}

// answers sends what request returns on the connections of a crowd, and returns the answers to those that the process refuses, of which
// there are some.
func answers(t *testing.T, p *process, addr string, request func(i int) []byte) []string {
	t.Helper()
	var mu sync.Mutex
	var refused []string
	var conns []net.Conn
	var done sync.WaitGroup
	for i := range crowd {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		conns = append(conns, conn)
		done.Go(func() { _, _ = conn.Write(request(i)) }) // fails if the request is refused before its end
		done.Go(func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				data, _ := httputil.DumpResponse(resp, true)
				mu.Lock()
				defer mu.Unlock()
				refused = append(refused, string(data))
			}
		})
	}
	p.settle()
	for _, conn := range conns {
		_ = conn.Close()
	}
	done.Wait()
	require.NotEmpty(t, refused)
	return refused
}

// exchange sends a request on a connection of its own and returns the begin of the answer.
func exchange(t *testing.T, addr string, request []byte) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	_, err = conn.Write(request)
	require.NoError(t, err)
	answer := make([]byte, 1000)
	n, err := conn.Read(answer)
	require.NoError(t, err)
	return string(answer[:n])
}

// TestALargestRequestIsServedInCalm checks that a single request inside the limits is served, with and without a declared length.
func TestALargestRequestIsServedInCalm(t *testing.T) {
	s := startSystem(t)
	require.NoError(t, s.call(http.MethodPost, "/q/00000000000000aa", string(job())))
	for i, size := range []int{bodyBytes, 2} {
		answer := exchange(t, s.front, chunked(i, job(), size))
		require.Contains(t, answer, " 200 ")
		require.Contains(t, answer, `{"state":"done"}`)
	}
	s.requireBounds()
}
