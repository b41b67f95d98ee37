package conf

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Times that keep the entries from writing the same snapshot all at once.
const (
	snapshotSpread = 5 * time.Second
	snapshotRetry  = 30 * time.Second
	// snapshotTimeout is short because the log isn't read meanwhile.
	snapshotTimeout = time.Second

	// The retention taken for granted where the options state none; a platform that keeps less must be stated.
	defaultRetainCount = 10_000
	defaultRetainAge   = 24 * time.Hour
)

// writeSnapshot appends the state before retention drops the last record that carries it. The entries take turns by a
// hash of their name; who comes later finds the snapshot of the first and has nothing to do.
func (s *Source) writeSnapshot(ctx context.Context) {
	data := s.dueSnapshot(time.Now())
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, _ = s.opts.Log.Append(ctx, s.opts.Stream, data) // tried again after snapshotRetry unless it is read back
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
		turn := xxhash.Sum64String(s.opts.Self) % uint64(snapshotSpread)
		s.snapshot = now.Add(time.Duration(turn))
	}
	if now.Before(s.snapshot) {
		return nil
	}
	s.snapshot = now.Add(snapshotRetry)
	return s.history.Snapshot(uuid.NewString(), now)
}

// untilTurn returns how long a poll may wait so that this process doesn't sleep past its turn into another's.
func (s *Source) untilTurn(now time.Time) time.Duration {
	if s.snapshot.IsZero() {
		return pollWait
	}
	return min(pollWait, max(0, s.snapshot.Sub(now)))
}
