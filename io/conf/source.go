package conf

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/core/audit"
	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
	"persimmonstage/core/rules"
	"persimmonstage/core/vers"
	"persimmonstage/io/logcl"
)

// An entry follows the log and queries its peers only when the log doesn't respond, records are missing, or a peer has a
// newer version; an agent has no log and gets everything from peers. Both use this type, so that the version in force is
// determined in one place. Polls are short because a silently broken connection must be detected well within the 4 s in
// which an accepted version must be in force.

// Timing and limits of the follower.
const (
	pollWait         = 1500 * time.Millisecond
	pollTimeout      = 2500 * time.Millisecond
	retryPause       = 200 * time.Millisecond
	peerInterval     = 250 * time.Millisecond
	peerTimeout      = time.Second
	appendTimeout    = 2500 * time.Millisecond
	appendRetryDelay = 500 * time.Millisecond
	readLimit        = 500

	// maxUpdates limits the cached results of Since; processes are at few versions at a time.
	maxUpdates = 64
)

// log appends to and reads from the platform's log.
type log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]logcl.Record, int64, error)
}

// peers requests from another process, a different one at each call, the result of Source.Since for the given version,
// which may be empty.
type peers interface {
	Config(ctx context.Context, version int64) ([]byte, error)
}

// Options configures a Source; with a nil Log it follows only its peers.
type Options struct {
	Log    log
	Stream string
	Peers  peers
	// Self is the process's name, whose hash spreads the snapshots of several entries in time.
	Self string
	// RetainCount and RetainAge are the platform's limits for the stream (0: 10,000 records, 24 h).
	RetainCount int64
	RetainAge   time.Duration
	// Deliver is called with each new version, in rising order and by one goroutine at a time.
	Deliver func(version int64, r *rules.Rules)
}

// Source is the configuration of one process, safe for concurrent use.
type Source struct {
	opts   Options
	wakeup chan struct{}

	mu          sync.Mutex
	history     vers.History
	rules       *rules.Rules
	updates     map[int64][]byte // cached results of Since by version
	changed     chan struct{}    // closed whenever a record was read, a state adopted, or an outage began or ended
	peerVersion int64
	outage      bool
	snapshot    time.Time // when this process writes the snapshot that is due
	delivered   int64
	deliverMu   sync.Mutex
}

// New returns a Source without a version; Run obtains the versions.
func New(opts Options) *Source {
	return &Source{
		opts:    opts,
		wakeup:  make(chan struct{}, 1),
		rules:   rules.FromDocument(fold.Document{}),
		updates: make(map[int64][]byte),
		changed: make(chan struct{}),
	}
}

// Run follows the log and the peers until ctx ends.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.followPeers(ctx) })
	if s.opts.Log != nil {
		wg.Go(func() { s.followLog(ctx) })
	}
	wg.Wait()
}

// Current returns the version in force and its rules; 0 and the defaults before the first.
func (s *Source) Current() (int64, *rules.Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Version(), s.rules
}

// Ready is false until a first version is known.
func (s *Source) Ready() bool {
	version, _ := s.Current()
	return version > 0
}

// Outage reports whether the last read of the log failed.
func (s *Source) Outage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// Since returns what a process at the given version lacks, or nil; version 0 requests the full state.
func (s *Source) Since(version int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.history.Version() {
		return nil
	}
	data, ok := s.updates[version]
	if !ok {
		data = s.history.Since(version)
		if len(s.updates) >= maxUpdates {
			clear(s.updates)
		}
		s.updates[version] = data
	}
	return data
}

// Entries returns up to n of the newest entries of the history, newest first.
func (s *Source) Entries(n int) []audit.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Entries(n)
}

// Changed returns what differs between two versions, and false when one of them is no longer kept.
func (s *Source) Changed(from, to int64) ([]delta.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Changed(from, to)
}

// At returns the document of a version, and false when it is no longer kept.
func (s *Source) At(version int64) (fold.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.At(version)
}

func (s *Source) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.poll(ctx); err != nil {
			s.setOutage(true)
			s.wake()
			pause(ctx, retryPause)
			continue
		}
		s.setOutage(false)
		s.writeSnapshot(ctx)
	}
}

// poll reads the log once; dropped records are not an error.
func (s *Source) poll(ctx context.Context) error {
	s.mu.Lock()
	from := s.history.Next()
	wait := s.pollDuration(time.Now())
	if s.outage {
		wait = 0 // detects the end of an outage at once, even if nothing was appended
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	records, _, err := s.opts.Log.Read(ctx, s.opts.Stream, from, readLimit, wait)
	var truncated *logcl.TruncatedError
	switch {
	case errors.As(err, &truncated):
		s.change(func() { s.history.Skip(truncated.First()) })
		s.wake()
		return nil
	case err != nil:
		return err
	}
	s.change(func() { s.apply(records) })
	return nil
}

// apply applies the records up to one that is not at the next offset of the history, as after a snapshot.
func (s *Source) apply(records []logcl.Record) {
	for _, r := range records {
		if r.Offset() != s.history.Next() {
			return
		}
		s.history.Apply(r.Offset(), r.Data())
	}
}

// change updates the history, wakes waiting goroutines, and delivers a new version.
func (s *Source) change(update func()) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	version, r, isNew := s.mutate(update)
	if isNew && s.opts.Deliver != nil {
		s.opts.Deliver(version, r)
	}
}

func (s *Source) mutate(update func()) (int64, *rules.Rules, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
	close(s.changed)
	s.changed = make(chan struct{})
	version := s.history.Version()
	if version == s.delivered {
		return version, s.rules, false
	}
	s.delivered = version
	s.rules = rules.FromDocument(s.history.Document())
	clear(s.updates)
	return version, s.rules, true
}

func (s *Source) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage == outage {
		return
	}
	s.outage = outage
	close(s.changed)
	s.changed = make(chan struct{})
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
