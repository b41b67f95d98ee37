package roll

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/tally"
)

// Stream is the name of the stream with the roll-ups of all entries.
const Stream = "persimmonstage-rollups"

const (
	// tick is how often the writer checks for closed records.
	tick = time.Second
	// spread is the period after the end of a minute over which the entries distribute their appends,
	// since the log can take several hundred appends a second in total.
	spread = 10 * time.Second
	// appendTimeout bounds one append, finalTimeout all appends of a graceful stop.
	appendTimeout = 5 * time.Second
	finalTimeout  = 2 * time.Second
	finalPause    = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failure.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// downAfter is how long appends must have failed before the event log-down is recorded.
	downAfter = 15 * time.Second
	// slowAppend is the duration from which an append is recorded as slow; a synced write takes several milliseconds.
	slowAppend = time.Second
	// seriesPerRecord keeps a record well under the log's limit of one megabyte.
	seriesPerRecord = 128
)

// appender appends to the log; a nil error means that the record is in the stream.
type appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// refusal is an error of the log with an HTTP status; most 4xx statuses mean that the record itself is at fault.
type refusal interface{ Status() int }

const (
	firstRefusal    = 400
	lastRefusal     = 499
	tooManyRequests = 429
)

// Writer appends the records of one tally; an append without an answer is retried with the same record,
// which readers count once. Run does the appends; the other methods are safe for concurrent use.
type Writer struct {
	log   appender
	seed  uint64        // of the jitter, used by Run alone
	delay time.Duration // after the end of a minute, within spread

	mu      sync.Mutex
	tally   *tally.Tally
	failing time.Time
	reason  string
	written int64
}

// New returns a writer of t to log; name determines when in the spread it appends. The writer takes ownership of t.
func New(log appender, t *tally.Tally, name string) *Writer {
	seed := xxhash.Sum64String(name)
	return &Writer{log: log, tally: t, seed: seed, delay: time.Duration(seed % uint64(spread))}
}

// Update calls f with the tally under the writer's lock; f must not retain it.
func (w *Writer) Update(f func(*tally.Tally)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.tally)
}

// Pending returns copies of the closed records that are not known to be in the log.
func (w *Writer) Pending() []*rollup.Rollup {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tally.Pending()
}

// Failing returns since when appends have failed and why; ok is false if the last one succeeded.
func (w *Writer) Failing() (since time.Time, reason string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing, w.reason, !w.failing.IsZero()
}

// Backlog returns the number of records that wait to be written, their memory in bytes, and the number written.
func (w *Writer) Backlog() (records, bytes int, written int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, bytes = w.tally.Backlog()
	return records, bytes, w.written
}

// Run writes records until ctx ends, then closes the current minute and tries for two more seconds to write the rest.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	var due time.Time
	wait := minBackoff
	for {
		select {
		case <-ctx.Done():
			w.stop()
			return
		case now := <-t.C:
			w.Update(func(t *tally.Tally) { t.Advance(now) })
			w.recordDown(now)
			if now.Before(due) || !w.isDue(now) {
				continue
			}
			if w.flush(ctx) == nil {
				wait = minBackoff
				continue
			}
			due = time.Now().Add(wait + w.jitter(wait))
			wait = min(2*wait, maxBackoff)
		}
	}
}

// isDue reports whether this entry's delay within the spread has passed since the oldest record ended.
func (w *Writer) isDue(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	end, ok := w.tally.OldestEnd()
	return ok && now.Sub(end) >= w.delay
}

// jitter returns a duration below limit that differs between entries and between failures.
func (w *Writer) jitter(limit time.Duration) time.Duration {
	w.seed = w.seed*6364136223846793005 + 1442695040888963407
	return time.Duration(w.seed>>1) % limit
}

// flush writes closed records, the oldest first, until none is left or one fails; refused records are dropped.
func (w *Writer) flush(ctx context.Context) error {
	for {
		w.mu.Lock()
		r, ok := w.tally.Next()
		w.mu.Unlock()
		if !ok {
			return nil
		}
		err := w.write(ctx, r)
		switch {
		case err == nil:
			w.succeeded(r.ID())
		case isRefusal(err):
			w.failed(err)
			w.Update(func(t *tally.Tally) { t.Drop(time.Now(), r.ID()) })
		default:
			w.failed(err)
			return err
		}
	}
}

// write appends r in parts small enough for the log; parts written before a failure are written again and counted once.
func (w *Writer) write(ctx context.Context, r *rollup.Rollup) error {
	for _, part := range r.Split(seriesPerRecord) {
		data, err := part.Encode()
		if err != nil {
			return err
		}
		if err := w.append(ctx, data); err != nil {
			return errors.Wrapf(err, "append roll-up %s", part.ID())
		}
	}
	return nil
}

func (w *Writer) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begin := time.Now()
	_, err := w.log.Append(ctx, Stream, data)
	if err != nil {
		return err
	}
	now := time.Now()
	w.Update(func(t *tally.Tally) {
		slow := event.Event{Cause: cause.LogSlow}
		if now.Sub(begin) < slowAppend {
			t.End(now, slow)
			return
		}
		slow.At = begin
		t.Begin(now, slow)
	})
	return nil
}

func (w *Writer) succeeded(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tally.MarkWritten(id)
	w.written++
	w.failing, w.reason = time.Time{}, ""
	w.tally.End(time.Now(), event.Event{Cause: cause.LogDown})
}

func (w *Writer) failed(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reason = err.Error()
	if w.failing.IsZero() {
		w.failing = time.Now()
	}
}

// recordDown opens the event log-down once appends have failed for downAfter.
func (w *Writer) recordDown(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing.IsZero() || now.Sub(w.failing) < downAfter {
		return
	}
	w.tally.End(now, event.Event{Cause: cause.LogSlow})
	w.tally.Begin(now, event.Event{Cause: cause.LogDown, At: w.failing})
}

// stop closes the current minute and writes what it can within finalTimeout.
func (w *Writer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), finalTimeout)
	defer cancel()
	w.Update(func(t *tally.Tally) { t.Close(time.Now()) })
	// Records not written by then are lost with the process; readers see the gap.
	for w.flush(ctx) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(finalPause):
		}
	}
}

func isRefusal(err error) bool {
	var r refusal
	if !errors.As(err, &r) {
		return false
	}
	return r.Status() >= firstRefusal && r.Status() <= lastRefusal && r.Status() != tooManyRequests
}
