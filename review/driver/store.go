//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the stand-in of the platform's store: topics of one partition, as "The platform's metadata store" describes them.
type store struct {
	mu       sync.Mutex
	topics   map[string][][]byte
	appended chan struct{}
}

func newStore() *store { return &store{topics: map[string][][]byte{}, appended: make(chan struct{})} }

// put writes a record of a keyed topic, as the operator does.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.add(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

func (s *store) add(topic string, contents [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], contents...)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, len(s.topics[topic])
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/api/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var contents [][]byte
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			if 4+n > len(body) {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			contents, body = append(contents, body[4:4+n]), body[4+n:]
		}
		offset, end := s.add(topic, contents)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
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
		key, value := string(c[1:1+int(c[0])]), c[1+int(c[0]):]
		if len(value) == 0 {
			delete(offsets, key)
			continue
		}
		offsets[key] = i
	}
	keys := make([]string, 0, len(offsets))
	for k := range offsets {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, k := range keys {
		value := s.topics[topic][offsets[k]][1+len(k):]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(value), "offset": offsets[k]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		appended, n := s.appended, len(s.topics[topic])
		s.mu.Unlock()
		if from < n {
			break
		}
		select {
		case <-appended:
		case <-deadline:
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
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(c))), c...)
	}
	_, _ = w.Write(out)
}
