//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics of one partition, without expiry.
type store struct {
	mu       sync.Mutex
	topics   map[string][][]byte
	appended chan struct{}
	down     bool
	addr     string
}

func newStore() *store {
	s := &store{topics: map[string][][]byte{}, appended: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// put adds a record as the operator does, and returns when it was acknowledged.
func (s *store) put(topic, key string, value any) time.Time {
	data, err := json.Marshal(value)
	must(err)
	s.add(topic, append(append([]byte{byte(len(key))}, key...), data...))
	return time.Now()
}

func (s *store) add(topic string, contents ...[]byte) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], contents...)
	close(s.appended)
	s.appended = make(chan struct{})
	return first, len(s.topics[topic])
}

// gate is an address of the store for one machine, which it may turn away.
type gate struct {
	store *store
	addr  string
	mu    sync.Mutex
	mode  string // of the rejection, empty while it serves
	since time.Time
}

func (s *store) newGate() *gate {
	g := &gate{store: s}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, g) }()
	return g
}

func (g *gate) set(mode string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode, g.since = mode, time.Now()
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	mode := g.mode
	g.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "many":
		w.WriteHeader(http.StatusTooManyRequests)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
	default:
		g.store.ServeHTTP(w, r)
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/api/log-append":
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		body, _ := io.ReadAll(r.Body)
		var list [][]byte
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			list = append(list, body[4:4+n])
			body = body[4+n:]
		}
		first, end := s.add(topic, list...)
		fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, end)
	case "/api/log-newest":
		s.newest(w, topic)
	case "/api/log-read":
		s.read(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offsets := map[string]int{}
	for i, c := range s.topics[topic] {
		n := int(c[0])
		if key := string(c[1 : 1+n]); len(c) > 1+n {
			offsets[key] = i
		} else {
			delete(offsets, key)
		}
	}
	items := []map[string]any{}
	for key, i := range offsets {
		value := s.topics[topic][i][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": i})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		appended, n := s.appended, len(s.topics[topic])
		s.mu.Unlock()
		if from < n {
			break
		}
		select {
		case <-appended:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[topic]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, c := range list[min(from, len(list)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(c)))
		out = append(out, c...)
	}
	_, _ = w.Write(out)
}
