package conf

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Delays that keep the entries from writing the same snapshot at the same time.
const (
	snapshotSpread = 5 * time.Second
	snapshotRetry  = 30 * time.Second
	// snapshotTimeout is short because the log isn't read during the append.
	snapshotTimeout = time.Second

	// Retention assumed when the options state none; a platform that keeps less must be configured.
	defaultRetainCount = 10_000
	defaultRetainAge   = 24 * time.Hour
)

// writeSnapshot appends the state before retention drops the last record that carries it. Entries are delayed by a hash
// of their name, so that later ones read the first one's snapshot and write none.
func (s *Source) writeSnapshot(ctx context.Context) {
	data := s.dueSnapshot(time.Now())
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, _ = s.opts.Log.Append(ctx, s.opts.Stream, data) // repeated after snapshotRetry unless it is read back
}

func (s *Source) dueSnapshot(now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := cmp.Or(s.opts.RetainCount, defaultRetainCount)
	age := cmp.Or(s.opts.RetainAge, defaultRetainAge)
	if !s.history.SnapshotDue(now, count, age) {
		s.snapshot = time.Time{}
		return nil
	}
	if s.snapshot.IsZero() {
		delay := xxhash.Sum64String(s.opts.Self) % uint64(snapshotSpread)
		s.snapshot = now.Add(time.Duration(delay))
	}
	if now.Before(s.snapshot) {
		return nil
	}
	s.snapshot = now.Add(snapshotRetry)
	return s.history.Snapshot(uuid.NewString(), now)
}

// pollDuration returns how long a poll may wait without passing the time at which this process writes its snapshot.
func (s *Source) pollDuration(now time.Time) time.Duration {
	if s.snapshot.IsZero() {
		return pollWait
	}
	return min(pollWait, max(0, s.snapshot.Sub(now)))
}
