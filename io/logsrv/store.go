package logsrv

import (
	"sort"
	"sync"
	"time"
)

// record is one record of a stream; its offset follows from its index.
type record struct {
	data []byte
	at   time.Time
}

// stream holds the retained records; first is the offset of records[0], and the next append gets first+len(records).
type stream struct {
	first   int64
	records []record
	bytes   int
	changed chan struct{}
}

// store holds the streams; its methods take the current time, so that a test can control retention by age.
type store struct {
	mu      sync.Mutex
	streams map[string]*stream
	count   int
	age     time.Duration
}

func newStore(count int, age time.Duration) *store {
	return &store{streams: make(map[string]*stream), count: count, age: age}
}

// append adds a record and returns its offset, or false when a new stream would exceed the limit.
func (s *store) append(name string, data []byte, now time.Time) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if st == nil {
		return 0, false
	}
	st.records = append(st.records, record{data: data, at: now})
	st.bytes += len(data)
	s.retain(st, now)
	close(st.changed)
	st.changed = make(chan struct{})
	return st.next() - 1, true
}

// read returns the retained records from the offset on, the oldest retained offset, the offset of the next append and
// a channel that closes at that append.
func (s *store) read(name string, from int64, maxRecords int, now time.Time) (readResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if st == nil {
		return readResult{}, false
	}
	s.retain(st, now)
	from = max(from, st.first)
	out := readResult{first: st.first, next: st.next(), from: from, changed: st.changed}
	size := 0
	for offset := from; offset < st.next() && len(out.records) < maxRecords; offset++ {
		r := st.records[offset-st.first]
		size += len(r.data)
		if size > maxAnswerBytes && len(out.records) > 0 {
			break
		}
		out.records = append(out.records, r.data)
	}
	return out, true
}

type readResult struct {
	first, next, from int64
	records           [][]byte
	changed           <-chan struct{}
}

func (s *store) stream(name string) *stream {
	st := s.streams[name]
	if st != nil || len(s.streams) >= maxStreams {
		return st
	}
	st = &stream{first: 1, changed: make(chan struct{})}
	s.streams[name] = st
	return st
}

func (s *store) retain(st *stream, now time.Time) {
	drop := max(0, len(st.records)-s.count)
	if s.age > 0 {
		oldest := now.Add(-s.age)
		drop = max(drop, sort.Search(len(st.records), func(i int) bool { return st.records[i].at.After(oldest) }))
	}
	size := st.bytes
	for _, r := range st.records[:drop] {
		size -= len(r.data)
	}
	for size > maxStreamBytes {
		size -= len(st.records[drop].data)
		drop++
	}
	if drop == 0 {
		return
	}
	st.bytes = size
	st.first += int64(drop)
	st.records = append([]record(nil), st.records[drop:]...)
}

func (st *stream) next() int64 { return st.first + int64(len(st.records)) }
