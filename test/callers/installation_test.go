package callers

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// ownHeaderBytes is the size of a header that an entry reads before it compares it with the operators' limit.
	ownHeaderBytes = 60_000
	// frameBytes and messageBytes are the largest frame and message that processes of the system send each other.
	frameBytes   = 256 << 10
	messageBytes = 64 << 20
	// unreadTime is how long the jobs last behind which callers send bytes that aren't read.
	unreadTime = 6 * settleTime
	// pipelined is how many requests a caller sends who doesn't read the answers.
	pipelined = 2000
)

// installation is an entry and an agent with the project's own interface, each with little memory and few descriptors, and stand-ins of
// the platform's log and of a target.
type installation struct {
	t             *testing.T
	entry, agent  *process
	http          string // the entry's address for callers
	control, bulk string // the entry's addresses for agents and entries
	agentHTTP     string
	target        string
	jobs          int
}

func startInstallation(t *testing.T) *installation {
	t.Helper()
	s := &installation{t: t}
	var log string
	for _, addr := range []*string{&s.http, &s.control, &s.bulk, &s.agentHTTP, &s.target, &log} {
		var err error
		*addr, err = allocator.Free()
		require.NoError(t, err)
	}
	startProcess(t, nil, "stand-in", "log", "--listen", log)
	startProcess(t, nil, "stand-in", "target", "--listen", s.target)
	limits := fmt.Sprintf("[limits]\nmemory-mb = %d\nmax-fds = %d\n", memoryMB, maxFDs)
	s.entry = startProcess(t, fmt.Appendf(nil, "name = \"e\"\ndata-centre = \"d\"\naccess = \"open\"\nhttp = %q\ncontrol = %q\nbulk = %q\nlog = %q\n%s",
		s.http, s.control, s.bulk, log, limits), "entry", "--settings", settingsFile)
	s.agent = startProcess(t, fmt.Appendf(nil, "name = \"a\"\ndata-centre = \"d\"\ntarget = \"http://%s\"\nhttp = %q\nentries = [%q]\n"+
		"[capacity]\nslots = 8\ncores = 64\nmemory-mb = 131072\n%s", s.target, s.agentHTTP, s.bulk, limits), "agent", "--settings", settingsFile)
	document := fmt.Sprintf("[access]\ncallers = \"open\"\noperators = \"open\"\n[limits]\nbody-bytes = %d\n", bodyBytes)
	body, err := json.Marshal(map[string]any{"base": 0, "author": "test", "document": document})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.call(http.MethodPut, s.http, "/v1/admin/config", body) == nil }, startTimeout, 50*time.Millisecond)
	require.Eventually(t, func() bool { return s.job() == nil }, startTimeout, 50*time.Millisecond)
	return s
}

// call sends an ordinary request on a connection of its own.
func (s *installation) call(method, addr, path string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return requestOK(req)
}

// jobBody returns a job of one task whose body has the given size.
func jobBody(id string, size int) []byte { return jobFor(id, size, time.Minute, "x") }

// jobFor is jobBody with the time until its deadline and a payload.
func jobFor(id string, size int, wait time.Duration, payload string) []byte {
	now := time.Now()
	head := fmt.Sprintf(`{"id":%q,"team":"t","kind":"hash","issued":%q,"deadline":%q,"tasks":[{"payload":%q,"needs":{"slots":1}}]}`,
		id, now.Format(time.RFC3339Nano), now.Add(wait).Format(time.RFC3339Nano), base64.StdEncoding.EncodeToString([]byte(payload)))
	return append([]byte(head), strings.Repeat(" ", max(0, size-len(head)))...)
}

// job sends an ordinary job.
func (s *installation) job() error {
	s.jobs++
	return s.call(http.MethodPost, s.http, "/v1/jobs", jobBody(fmt.Sprintf("ordinary-%d", s.jobs), 0))
}

// requireServed checks that the entry serves an ordinary job and answers probes and operators.
func (s *installation) requireServed() {
	s.t.Helper()
	s.requireProbes()
	require.NoError(s.t, s.job(), "an ordinary job isn't served")
}

// requireProbes checks that the entry answers probes and operators.
func (s *installation) requireProbes() {
	s.t.Helper()
	for _, path := range []string{"/readyz", "/metrics", "/v1/admin/state"} {
		require.NoError(s.t, s.call(http.MethodGet, s.http, path, nil), "%s isn't answered", path)
	}
}

// requireBounds checks the bounds of the entry's process.
func (s *installation) requireBounds() {
	s.t.Helper()
	s.entry.requireBounds(s.requireServed)
}

// postHead returns the begin of a job's header.
func postHead() []byte { return []byte("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n") }

// withOwnLength returns a request of a job with a body of declared length.
func withOwnLength(body []byte) []byte { return inOnePiece(postHead(), body) }

// ownChunked returns a request of a job whose body comes in chunks of a size.
func ownChunked(body []byte, size int) []byte { return inChunks(postHead(), body, size) }

// largeJob returns a job with the largest body.
func largeJob(i int) []byte { return jobBody(fmt.Sprintf("large-%d", i), bodyBytes) }

// TestHeadersOfTheOwnInterface guards against header lines of which a parser keeps an entry each, in headers that don't end.
func TestHeadersOfTheOwnInterface(t *testing.T) {
	for name, line := range map[string]func(int) string{"short": shortLine, "odd": oddLine} {
		t.Run(name, func(t *testing.T) {
			s := startInstallation(t)
			send(t, s.http, crowd, pieceBytes, func(i int) []byte { return short(i, append(fill(postHead(), ownHeaderBytes, line), "\r\n\r\n"...)) })
			s.requireBounds()
		})
	}
}

// TestHeadersBeforeABodyOfTheOwnInterface guards against such headers that are kept while a body is awaited.
func TestHeadersBeforeABodyOfTheOwnInterface(t *testing.T) {
	s := startInstallation(t)
	send(t, s.http, crowd, pieceBytes, func(int) []byte {
		return append(fill(append(postHead(), "Content-Length: 900\r\n"...), ownHeaderBytes, shortLine), "\r\n{"...)
	})
	s.requireBounds()
}

// TestBodiesOfTheOwnInterface guards against bodies of legal size that together exceed the memory: at once, or short of their end.
func TestBodiesOfTheOwnInterface(t *testing.T) {
	for name, c := range map[string]struct {
		piece   int
		request func(i int) []byte
	}{
		"at once":                  {bodyBytes, func(i int) []byte { return withOwnLength(largeJob(i)) }},
		"short of their end":       {pieceBytes, func(i int) []byte { return short(i, withOwnLength(largeJob(i))) }},
		"in large chunks":          {pieceBytes, func(i int) []byte { return short(i, ownChunked(largeJob(i), bodyBytes/4)) }},
		"in small chunks":          {pieceBytes, func(i int) []byte { return short(i, ownChunked(largeJob(i), 4)) }},
		"in chunks of one byte":    {pieceBytes, func(i int) []byte { return short(i, ownChunked(largeJob(i), 1)) }},
		"announced, not continued": {pieceBytes, func(i int) []byte { return withOwnLength(largeJob(i))[:headerBytes] }},
	} {
		t.Run(name, func(t *testing.T) {
			s := startInstallation(t)
			send(t, s.http, crowd, c.piece, c.request)
			s.requireBounds()
		})
	}
}

// TestJobsThatHoldLargePayloads guards against jobs that wait with payloads which together exceed the memory: no target has the room that
// each needs while another one runs.
func TestJobsThatHoldLargePayloads(t *testing.T) {
	s := startInstallation(t)
	send(t, s.http, crowd, bodyBytes, func(i int) []byte {
		payload := base64.StdEncoding.EncodeToString(make([]byte, 60<<10))
		task := fmt.Sprintf(`{"payload":%q,"needs":{"slots":8}}`, payload)
		now := time.Now()
		body := fmt.Sprintf(`{"id":"payloads-%d","team":"t","kind":"sort","issued":%q,"deadline":%q,"tasks":[%s]}`, i,
			now.Format(time.RFC3339Nano), now.Add(time.Minute).Format(time.RFC3339Nano), strings.Repeat(task+",", 11)+task)
		return withOwnLength([]byte(body))
	})
	s.requireBounds()
}

// TestUnreadBytes guards against bytes that the kernel has received and the entry doesn't read, since it serves the request before, the
// lookup of a job that runs: the kernel grows what it keeps of a connection on which much was read.
func TestUnreadBytes(t *testing.T) {
	s := startInstallation(t)
	payload := fmt.Sprintf(`{"work-ms":%d}`, unreadTime.Milliseconds())
	send(t, s.http, 1, bodyBytes, func(int) []byte { return withOwnLength(jobFor("runs", 0, time.Minute, payload)) })
	for range crowd {
		conn, err := net.Dial("tcp", s.http)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		request := append(withOwnLength(make([]byte, bodyBytes)), "GET /v1/jobs/t/runs HTTP/1.1\r\nHost: h\r\n\r\n"...)
		if _, err = conn.Write(request); err != nil {
			continue // the connection was closed for a new one
		}
		go func() { _, _ = conn.Write(withOwnLength(make([]byte, 8*bodyBytes))) }() // blocks until the connection is closed
	}
	s.entry.settle()
	unread, _ := kernelMB(t, s.http)
	t.Logf("unread %d MB", unread)
	require.LessOrEqual(t, s.entry.peakMB()+unread, memoryMB, "memory at its peak and unread bytes, in MB")
	s.requireBounds()
}

// TestBodiesForOperators guards against bodies that are read before the operators' token is checked.
func TestBodiesForOperators(t *testing.T) {
	s := startInstallation(t)
	send(t, s.http, crowd, pieceBytes, func(i int) []byte {
		return short(i, []byte(strings.Replace(string(withOwnLength(largeJob(i))), "POST /v1/jobs", "PUT /v1/admin/config", 1)))
	})
	s.requireBounds()
}

// TestBodiesOverTheLimit guards against bodies that are read whole before they are compared with the operators' limit.
func TestBodiesOverTheLimit(t *testing.T) {
	s := startInstallation(t)
	send(t, s.http, crowd, bodyBytes, func(int) []byte { return short(1, withOwnLength(make([]byte, 4*bodyBytes))) })
	s.requireBounds()
}

// TestCallersThatDoNotReadAnswers guards against answers that pile up for callers who send requests and read nothing.
func TestCallersThatDoNotReadAnswers(t *testing.T) {
	s := startInstallation(t)
	request := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", pipelined)
	for _, addr := range []string{s.http, s.agentHTTP} {
		send(t, addr, crowd, pieceBytes, func(int) []byte { return []byte(request) })
	}
	s.requireBounds()
	s.agent.requireBounds(func() { require.NoError(t, s.call(http.MethodGet, s.agentHTTP, "/metrics", nil)) })
}

// TestMoreConnectionsThanDescriptorsOfTheOwnInterface guards against callers who use up the descriptors of an entry or an agent.
func TestMoreConnectionsThanDescriptorsOfTheOwnInterface(t *testing.T) {
	s := startInstallation(t)
	for _, addr := range []string{s.http, s.agentHTTP} {
		send(t, addr, largeCrowd, pieceBytes, func(int) []byte { return postHead() })
	}
	s.requireBounds()
	s.agent.requireBounds(func() { require.NoError(t, s.call(http.MethodGet, s.agentHTTP, "/readyz", nil)) })
}

// TestMoreServedRequestsThanConnections guards against callers whose jobs wait for long and take all connections, so that nobody else gets
// an answer: operators and probes from the same address, and a caller from another one.
func TestMoreServedRequestsThanConnections(t *testing.T) {
	s := startInstallation(t)
	payload := fmt.Sprintf(`{"work-ms":%d}`, unreadTime.Milliseconds())
	send(t, s.http, largeCrowd, pieceBytes, func(i int) []byte {
		return withOwnLength(jobFor(fmt.Sprintf("waits-%d", i), 0, time.Minute, payload))
	})
	s.entry.requireBounds(func() {
		s.requireProbes()
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
		client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
		resp, err := client.Post("http://"+s.http+"/v1/jobs", "application/json", bytes.NewReader(jobFor("another-address", 0, callTimeout/4, "x")))
		require.NoError(t, err, "a job from another address isn't answered") // it may wait behind the others until its deadline
		_ = resp.Body.Close()
	})
}

// TestLargeRequestsToAnAgent guards against bodies at the agent's port, of which no request has one.
func TestLargeRequestsToAnAgent(t *testing.T) {
	s := startInstallation(t)
	send(t, s.agentHTTP, crowd, pieceBytes, func(i int) []byte { return short(i, withOwnLength(make([]byte, bodyBytes))) })
	s.agent.requireBounds(func() {
		require.NoError(t, s.call(http.MethodGet, s.agentHTTP, "/readyz", nil))
		s.requireServed()
	})
}

// TestUnfinishedFrames guards against connections at the port of the system's own small frames, each with a frame that never ends.
func TestUnfinishedFrames(t *testing.T) {
	s := startInstallation(t)
	send(t, s.control, largeCrowd, pieceBytes, func(int) []byte { return binary.BigEndian.AppendUint32(nil, frameBytes) })
	send(t, s.control, crowd, pieceBytes, func(int) []byte {
		return append(binary.BigEndian.AppendUint32(nil, frameBytes), make([]byte, frameBytes-1)...)
	})
	s.requireBounds()
}

// yamuxFrame returns a frame of yamux, the protocol of the bulk port: version, type, flags, stream and length or window.
func yamuxFrame(kind byte, flags uint16, stream, length uint32) []byte {
	out := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(out, stream), length)
}

// TestUnfinishedMessages guards against streams at the port of the system's own messages, each with a message of the largest size that
// doesn't end.
func TestUnfinishedMessages(t *testing.T) {
	const data, windowUpdate, syn, window = 0, 1, 1, 256 << 10 // of yamux
	s := startInstallation(t)
	send(t, s.bulk, crowd, pieceBytes, func(int) []byte {
		var out []byte
		for stream := uint32(1); stream < 16; stream += 2 {
			out = append(out, yamuxFrame(windowUpdate, syn, stream, 0)...)
			out = append(out, yamuxFrame(data, 0, stream, window)...)
			out = append(binary.BigEndian.AppendUint32(out, messageBytes), make([]byte, window-4)...)
		}
		return out
	})
	s.requireBounds()
}

// TestMoreConnectionsThanDescriptorsAtTheOwnPorts guards against connections at the ports of the system's own frames and messages.
func TestMoreConnectionsThanDescriptorsAtTheOwnPorts(t *testing.T) {
	s := startInstallation(t)
	for _, addr := range []string{s.control, s.bulk} {
		send(t, addr, largeCrowd, pieceBytes, func(int) []byte { return []byte{0} })
	}
	s.requireBounds()
}

// TestRefusalsOfTheOwnInterface checks that callers whose requests are given up are told that nothing has run and when to come back.
func TestRefusalsOfTheOwnInterface(t *testing.T) {
	s := startInstallation(t)
	refused := answers(t, s.entry, s.http, func(i int) []byte { return short(1, withOwnLength(largeJob(i))) })
	for _, a := range refused {
		require.Contains(t, a, " 503 ")
		require.Contains(t, a, "Retry-After: 1")
		require.Contains(t, a, `"not-run":true`)
	}
	s.requireBounds()
}

// TestALargestJobIsServedInCalm checks that a single job inside the limits is served, with and without a declared length.
func TestALargestJobIsServedInCalm(t *testing.T) {
	s := startInstallation(t)
	require.NoError(t, s.call(http.MethodPost, s.http, "/v1/jobs", jobBody("calm", bodyBytes)))
	for i, size := range []int{bodyBytes, 1} {
		answer := exchange(t, s.http, ownChunked(jobBody(fmt.Sprintf("calm-%d", i), bodyBytes), size))
		require.Contains(t, answer, " 200 ")
		require.Contains(t, answer, `"outcome":"complete"`)
	}
	s.requireBounds()
}
