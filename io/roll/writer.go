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

// Stream is the name of the stream that holds the roll-ups of all entries.
const Stream = "persimmonstage-rollups"

const (
	// tick is how often the writer looks for a closed minute.
	tick = time.Second
	// spread is the time over which the entries spread their appends after a minute ends,
	// as the log takes several hundred appends a second from all of them.
	spread = 10 * time.Second
	// appendTimeout bounds one append, finalTimeout all of those at a graceful stop.
	appendTimeout = 5 * time.Second
	finalTimeout  = 2 * time.Second
	finalPause    = 100 * time.Millisecond
	// leastWait and mostWait bound the backoff after a failure.
	leastWait = time.Second
	mostWait  = 30 * time.Second
	// downAfter is how long appends must have failed before the log is told to be down.
	downAfter = 15 * time.Second
	// slowAppend is the time from which an append is told to be slow; a synced write takes several milliseconds.
	slowAppend = time.Second
	// seriesPerRecord keeps a record well under the megabyte that the log takes.
	seriesPerRecord = 128
)

// appender is the log as the writer needs it; a nil error means that the record stands in the stream.
type appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// refusal is an error of the log that says that the record itself is at fault, by an HTTP status.
type refusal interface{ Status() int }

const (
	firstRefusal = 400
	lastRefusal  = 499
	tooMany      = 429
)

// Writer appends the records of one tally; an append without an answer is tried again with the same record,
// which readers count once. Run does the work, the other methods are safe for concurrent use.
type Writer struct {
	log   appender
	seed  uint64        // of the jitter, used by Run alone
	place time.Duration // within spread

	mu      sync.Mutex
	tally   *tally.Tally
	failing time.Time
	reason  string
	written int64
}

// New returns a writer of t to log; name spreads the appends of entries, and the writer alone uses t from now on.
func New(log appender, t *tally.Tally, name string) *Writer {
	seed := xxhash.Sum64String(name)
	return &Writer{log: log, tally: t, seed: seed, place: time.Duration(seed % uint64(spread))}
}

// Update lets f count into the tally; f must not keep it.
func (w *Writer) Update(f func(*tally.Tally)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.tally)
}

// Pending returns copies of the closed records that are not known to stand in the log.
func (w *Writer) Pending() []*rollup.Rollup {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tally.Pending()
}

// Failing returns since when appends have failed and why; ok is false when the last one succeeded.
func (w *Writer) Failing() (since time.Time, reason string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing, w.reason, !w.failing.IsZero()
}

// Backlog returns how many records wait, their memory in bytes, and how many were written.
func (w *Writer) Backlog() (records, bytes int, written int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, bytes = w.tally.Backlog()
	return records, bytes, w.written
}

// Run writes until ctx ends, then closes the open minute and tries for two seconds more to write what is left.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	var due time.Time
	wait := leastWait
	for {
		select {
		case <-ctx.Done():
			w.stop()
			return
		case now := <-t.C:
			w.Update(func(t *tally.Tally) { t.Advance(now) })
			w.tellDown(now)
			if now.Before(due) || !w.ripe(now) {
				continue
			}
			if w.flush(ctx) == nil {
				wait = leastWait
				continue
			}
			due = time.Now().Add(wait + w.jitter(wait))
			wait = min(2*wait, mostWait)
		}
	}
}

// ripe reports whether the oldest record has waited for this entry's place in the spread.
func (w *Writer) ripe(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	end, ok := w.tally.OldestEnd()
	return ok && now.Sub(end) >= w.place
}

// jitter returns a time below most that differs among entries and from one failure to the next.
func (w *Writer) jitter(most time.Duration) time.Duration {
	w.seed = w.seed*6364136223846793005 + 1442695040888963407
	return time.Duration(w.seed>>1) % most
}

// flush writes closed records, the oldest first, until none waits or one fails.
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
		case refused(err):
			w.failed(err)
			w.Update(func(t *tally.Tally) { t.Drop(time.Now(), r.ID()) })
		default:
			w.failed(err)
			return err
		}
	}
}

// write appends r in parts that the log takes; parts written before a failure are written again and counted once.
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

// tellDown tells that the log is down once appends have failed for long enough.
func (w *Writer) tellDown(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing.IsZero() || now.Sub(w.failing) < downAfter {
		return
	}
	w.tally.End(now, event.Event{Cause: cause.LogSlow})
	w.tally.Begin(now, event.Event{Cause: cause.LogDown, At: w.failing})
}

// stop closes the open minute and writes what it can.
func (w *Writer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), finalTimeout)
	defer cancel()
	w.Update(func(t *tally.Tally) { t.Close(time.Now()) })
	// What can't be written by then is lost with the process; readers see the gap.
	for w.flush(ctx) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(finalPause):
		}
	}
}

func refused(err error) bool {
	var r refusal
	if !errors.As(err, &r) {
		return false
	}
	return r.Status() >= firstRefusal && r.Status() <= lastRefusal && r.Status() != tooMany
}
