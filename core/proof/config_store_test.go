package proof

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/follow"
)

const (
	configCallTimeout = 1500 * time.Millisecond
	configReadWait    = 900 * time.Millisecond
	configOneWay      = 2 * time.Millisecond
	configSlowOneWay  = 120 * time.Millisecond
)

var (
	errConfigTimeout = errors.New("timeout")
	errConfigRefused = errors.New("refused")
	errConfigGone    = errors.New("dropped")
)

// configRecord is a record of the operators' topic; one of another key has version 0.
type configRecord struct {
	version int64
	at      time.Time
}

// configAnswer is the store's answer to a list, or to a read.
type configAnswer struct {
	version int64 // the newest one listed or read
	records int   // read
	end     int64
	first   int64
	last    int64 // listed
}

// configRead is a read that waits for records.
type configRead struct {
	host   *configHost
	from   int64
	until  time.Time
	answer func(configAnswer, error)
}

// configStore is a topic of the platform's store.
type configStore struct {
	w         *configWorld
	records   []configRecord
	first     int64 // retained
	skips     bool  // a read of dropped records begins with the first retained one
	waiting   []*configRead
	downUntil time.Time
	silent    bool // while it is down
	slowUntil time.Time
	// Waiting reads hear nothing until mutedUntil. Lists are older by staleBy until staleUntil; their ends too, if oldEnds is set.
	mutedUntil, staleUntil time.Time
	staleBy                time.Duration
	oldEnds                bool
	// misleadingUntil is when its answers last were outdated without a sign of it.
	misleadingUntil time.Time
	calmFrom        time.Time
}

// change appends a version, or now and then a record of another key.
func (s *configStore) change() {
	version := s.newestAt(s.w.now) + 1 + s.w.rng.Int64N(3)
	if len(s.records) > 0 && s.w.rng.IntN(6) == 0 {
		version = 0
	}
	s.w.note("record %d: version %d", len(s.records), version)
	s.records = append(s.records, configRecord{version, s.w.now})
}

// newestAt returns the newest version that was confirmed at a time.
func (s *configStore) newestAt(at time.Time) int64 {
	newest := int64(0)
	for _, r := range s.records {
		if !r.at.After(at) {
			newest = max(newest, r.version)
		}
	}
	return newest
}

func (s *configStore) disturb(until time.Time) {
	if until.After(s.calmFrom) {
		s.calmFrom = until
	}
}

func (s *configStore) fail(until time.Time, silent bool) {
	s.downUntil, s.silent = until, silent
	s.disturb(until)
}

func (s *configStore) slowDown(until time.Time) {
	s.slowUntil = until
	s.disturb(until)
}

// compact makes waiting reads hear nothing for a second, in which changes come, then drops the history and breaks the reads; lists
// are old for some time.
func (s *configStore) compact() {
	const muted = time.Second
	s.mutedUntil = s.w.now.Add(muted)
	s.disturb(s.mutedUntil)
	s.w.after(muted/2, s.change)
	s.w.after(muted, func() {
		s.first, s.skips = int64(len(s.records)), s.w.rng.IntN(2) == 0
		for _, r := range s.waiting {
			r.answer(configAnswer{}, errConfigRefused)
		}
		s.waiting = nil
		s.w.note("records before %d dropped", s.first)
		if s.w.rng.IntN(2) == 0 {
			return
		}
		s.staleBy, s.oldEnds = s.w.between(time.Second, 6*time.Second), s.w.rng.IntN(2) == 0
		s.staleUntil = s.w.now.Add(s.w.between(500*time.Millisecond, 3*time.Second))
		s.w.note("lists are %s old for %s, ends too: %t", s.staleBy, s.staleUntil.Sub(s.w.now), s.oldEnds)
		if s.oldEnds {
			s.misleadingUntil = s.staleUntil
		}
		s.disturb(s.staleUntil)
	})
}

// refuses reports whether a call of a host isn't served, and whether it isn't answered at all.
func (s *configStore) refuses(h *configHost) (refused, silent bool) {
	switch {
	case s.w.now.Before(s.downUntil):
		return true, s.silent
	case s.w.now.Before(h.refusedUntil):
		return true, h.refusedSilently
	}
	return false, false
}

// call makes a call of a host: a list, or a read from an offset on that waits for records. done is called once, with the answer or after the timeout.
func (s *configStore) call(h *configHost, from int64, list bool, wait time.Duration, done func(configAnswer, error)) {
	over, inc, connections := false, h.incarnation, h.connections
	end := func(a configAnswer, err error) {
		if !over && inc == h.incarnation && (connections == h.connections || errors.Is(err, errConfigTimeout)) {
			over = true
			h.post(func() { done(a, err) })
		}
	}
	timeout, oneWay := configCallTimeout, configOneWay
	if !list {
		timeout += wait
	}
	if s.w.now.Before(s.slowUntil) {
		oneWay = configSlowOneWay
	}
	answer := func(a configAnswer, err error) { s.w.after(oneWay, func() { end(a, err) }) }
	s.w.after(timeout, func() { end(configAnswer{}, errConfigTimeout) })
	s.w.after(oneWay, func() {
		switch refused, silent := s.refuses(h); {
		case refused && silent:
		case refused:
			answer(configAnswer{}, errConfigRefused)
		case list:
			answer(s.list(), nil)
		case from < s.first && !s.skips:
			answer(configAnswer{}, errConfigGone)
		default:
			s.waiting = append(s.waiting, &configRead{host: h, from: from, until: s.w.now.Add(wait), answer: answer})
		}
	})
}

func (s *configStore) list() configAnswer {
	n := len(s.records)
	if s.w.now.Before(s.staleUntil) {
		asOf := s.w.now.Add(-s.staleBy)
		n = sort.Search(len(s.records), func(i int) bool { return s.records[i].at.After(asOf) })
	}
	a := configAnswer{end: int64(len(s.records)), last: int64(n) - 1}
	if s.oldEnds {
		a.end = int64(n)
	}
	for _, r := range s.records[:n] {
		a.version = max(a.version, r.version)
	}
	return a
}

// serveWaiting answers the reads for which there are records, or that have waited long enough.
func (s *configStore) serveWaiting() {
	list := s.waiting
	s.waiting = nil
	for _, r := range list {
		refused, silent := s.refuses(r.host)
		end := int64(len(s.records))
		a := configAnswer{end: end, first: s.first}
		switch {
		case refused && silent: // its caller gives up
		case refused:
			r.answer(configAnswer{}, errConfigRefused)
		case end > r.from && !s.w.now.Before(s.mutedUntil):
			for _, rec := range s.records[max(r.from, s.first):] {
				a.version = max(a.version, rec.version)
				a.records++
			}
			r.answer(a, nil)
		case !s.w.now.Before(r.until):
			r.answer(a, nil)
		default:
			s.waiting = append(s.waiting, r)
		}
	}
}

// follow lets a follower process an answer, unless a guard is left out, and reports whether all records have been read.
func (w *configWorld) follow(f *follow.Follower, a configAnswer, list bool, from int64) bool {
	switch {
	case list && w.guard == withoutPartialLists:
		return f.Listed(w.now, a.end, a.end-1)
	case list:
		return f.Listed(w.now, a.end, a.last)
	case w.guard == withoutGaps:
		return f.Read(a.records, from+int64(a.records), 0)
	}
	return f.Read(a.records, a.end, a.first)
}
