package callers

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	_ "persimmonstage/io/verb" // makes go test's cache depend on the program that is built here
	"persimmonstage/test/ports"
)

const (
	memoryMB = 64  // what the settings give each process; an entry without callers uses some 30
	maxFDs   = 320 // what the settings give each process
	fileFDs  = 200 // the part of maxFDs that the platform sets aside for files
	sockets  = maxFDs - fileFDs
	// bodyBytes is the limit of the operators' configuration.
	bodyBytes    = 1 << 20
	startTimeout = time.Minute
	settleTime   = 2 * time.Second
	callTimeout  = 20 * time.Second
)

var allocator ports.Allocator

// system is an entry and an agent with a stand-in for its target, each with little memory and few descriptors.
type system struct {
	t              *testing.T
	entry, agent   *process
	front, ready   string // the entry's addresses
	control        string // the agent's address for heartbeats
	entryMetrics   string
	agentMetrics   string
	runner         *runner
	runnerAddr     string
	heartbeats     int
	internalOfBoth [2]string // the entry's and the agent's addresses for the system's own traffic
}

func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, runner: &runner{born: time.Now()}}
	for _, addr := range []*string{
		&s.front, &s.ready, &s.control, &s.entryMetrics, &s.agentMetrics, &s.internalOfBoth[0], &s.internalOfBoth[1],
	} {
		var err error
		*addr, err = allocator.Free()
		require.NoError(t, err)
	}
	store := listen(t, http.HandlerFunc(s.serveStore))
	s.runnerAddr = listen(t, s.runner)
	s.entry = startProcess(t, s.settings(0, store), "platform", "entry", "--metrics-port", port(s.entryMetrics))
	s.agent = startProcess(t, s.settings(1, store), "platform", "agent", "--metrics-port", port(s.agentMetrics))
	require.Eventually(t, func() bool { return s.announce() == nil }, startTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return s.job() == nil }, startTimeout, 20*time.Millisecond)
	return s
}

func listen(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func port(addr string) string { return strconv.Itoa(int(netip.MustParseAddrPort(addr).Port())) }

func (s *system) settings(i int, store string) []byte {
	return fmt.Appendf(nil, `node = "p%d"
ip = "127.0.0.1"
zone = "z"
internal-ports = [%s,65535]
[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = %d
max-fds = %d
[platform]
addr = %q
`, i, port(s.internalOfBoth[i]), s.front, s.ready, s.control, memoryMB, maxFDs, store)
}

// serveStore imitates the platform's store, which holds one configuration and the entry's address and takes no record.
func (s *system) serveStore(w http.ResponseWriter, r *http.Request) {
	switch topic := r.URL.Query().Get("topic"); r.URL.Path {
	case "/api/log-newest":
		key, value := "config", configuration()
		if topic == "keyed.entries" {
			key, value = s.internalOfBoth[0], []byte("{}")
		}
		items := []map[string]any{}
		if topic != "keyed.targets" {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": 0})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(items)})
	case "/api/log-read":
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, from), 0))
	default:
		_, _ = io.WriteString(w, `{"offset":0,"end":1}`)
	}
}

func configuration() []byte {
	data, err := json.Marshal(map[string]any{
		"version": 1, "limits": map[string]any{"max-body-bytes": bodyBytes},
		"routes": []map[string]any{{
			"name": "q", "host": "h.example", "path-prefix": "/q/", "timeout-ms": 60000, "target-latency-ms": 5000, "service": "s",
			"max-attempts": 2, "stretch": 1.6,
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// announce sends the target's next heartbeat.
func (s *system) announce() error {
	s.heartbeats++
	return s.runner.announce(s.control, s.runnerAddr, s.heartbeats)
}

// call sends an ordinary request to the entry on a connection of its own.
func (s *system) call(method, path, body string) error {
	req, err := http.NewRequest(method, "http://"+s.front+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("X-Persimmonstage-Deadline-Ms", "10000")
	return requestOK(req)
}

// requestOK sends a request on a connection of its own and returns an error unless the answer's status is 200.
func requestOK(req *http.Request) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, data)
	}
	return err
}

// job sends an ordinary job.
func (s *system) job() error {
	return s.call(http.MethodPost, "/q/00000000000000ff", `{"spec":"`+strings.Repeat("x", 3900)+
		`","phases":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900}],"best-effort":true}`)
}

// requireServed checks that the entry serves an ordinary job and answers an ordinary question.
func (s *system) requireServed() {
	s.t.Helper()
	require.NoError(s.t, s.call(http.MethodGet, "/q/", ""), "an ordinary question isn't answered")
	require.NoError(s.t, s.job(), "an ordinary job isn't served")
}

// requireBounds checks the bounds of the entry's process.
func (s *system) requireBounds() {
	s.t.Helper()
	s.entry.requireBounds(s.requireServed)
}
