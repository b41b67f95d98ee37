package tally

import (
	"strings"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/flood"
	"persimmonstage/core/rollup"
	"persimmonstage/core/series"
	"persimmonstage/core/times"
)

const (
	// RecordLength is the period that a record covers while the log accepts records.
	RecordLength = time.Minute
	// DefaultBound is the memory in bytes that closed records may take while the log is unavailable.
	DefaultBound = 16 << 20
	// maxSeries bounds the pairs of team and kind in one minute; further ones share the series Others.
	maxSeries = 1024
	// maxSpans bounds the concurrently open spans; further ones are counted as lost events.
	maxSpans = rollup.MaxEvents
	// Others is the team and the kind of the shared series.
	Others = "(others)"
	// Unknown is the team of unauthenticated and malformed requests.
	Unknown = "(unknown)"
)

// Tally holds the counts of one incarnation of an entry; the zero value counts for an entry without a name.
// It is used by the goroutine that owns the control state, and is not safe for concurrent use.
type Tally struct {
	entry, incarnation string
	bound              int

	seq     uint64
	current *rollup.Rollup
	index   map[key]*series.Series
	spans   []event.Event
	closed  []*closedRecord
	held    int // estimated memory of closed in bytes
	surge   flood.Detector
}

type key struct{ team, kind string }

// closedRecord is a record that waits to be written; once tried it may be in the log, so it is never changed again.
type closedRecord struct {
	rollup *rollup.Rollup
	bytes  int
	tried  bool
}

// New returns an empty tally for a process of an entry; incarnation must be unique to the process.
func New(entry, incarnation string) *Tally {
	return &Tally{entry: entry, incarnation: incarnation}
}

// SetBound sets the memory in bytes that closed records may take; zero means DefaultBound.
func (t *Tally) SetBound(bytes int) { t.bound = bytes }

// JobEnded counts one job: lateBy is the time from its deadline to its answer, zero or less when it was in time;
// ideal is its run time alone on the fastest target, zero if unknown.
func (t *Tally) JobEnded(now time.Time, team, kind string, o ended.Outcome, c cause.Cause, response, ideal, lateBy time.Duration, tasks int) {
	s := t.seriesFor(now, team, kind)
	s.AddJobs(o, c, lateBy, 1)
	s.AddTasks(int64(tasks))
	if lateBy > 0 || isOverload(c) {
		t.surge.AddShortage(team, kind)
	}
	if o == ended.Complete {
		s.RecordTime(response, ideal)
	}
}

// Refused counts one job of which nothing was run. An unauthenticated or malformed request counts under Unknown, so that
// made-up names can't use up the series of real teams.
func (t *Tally) Refused(now time.Time, team, kind string, c cause.Cause) {
	if c == cause.Unauthorised || c == cause.BadRequest {
		team, kind = Unknown, ""
	}
	t.seriesFor(now, team, kind).AddJobs(ended.Refused, c, 0, 1)
	if isOverload(c) {
		t.surge.AddShortage(team, kind)
	}
}

// Event records the event e; a zero time of e means now.
func (t *Tally) Event(now time.Time, e event.Event) {
	t.advance(now)
	if e.At.IsZero() {
		e.At = now.UTC()
	}
	t.current.AddEvent(e)
}

// Begin opens the span e at its own time, or now if that is zero; a span for the same thing that is already open is kept.
func (t *Tally) Begin(now time.Time, e event.Event) {
	t.advance(now)
	if t.spanIndex(e) >= 0 {
		return
	}
	if len(t.spans) >= maxSpans {
		t.current.EventsLost++
		return
	}
	if e.At.IsZero() {
		e.At = now
	}
	e.At = e.At.UTC()
	t.spans = append(t.spans, e)
}

// End closes the open span e at now; it does nothing if no such span is open.
func (t *Tally) End(now time.Time, e event.Event) {
	t.advance(now)
	i := t.spanIndex(e)
	if i < 0 {
		return
	}
	closedSpan := t.spans[i]
	closedSpan.Until = now.UTC()
	t.spans = append(t.spans[:i], t.spans[i+1:]...)
	t.current.AddEvent(closedSpan)
}

// Overdue records that n jobs are open past their deadline now.
func (t *Tally) Overdue(now time.Time, n int) {
	t.advance(now)
	t.current.Overdue = max(t.current.Overdue, int64(n))
}

// Advance closes the current minute once it is over and detects floods; call it every second.
func (t *Tally) Advance(now time.Time) {
	t.advance(now)
	t.detectFloods(now)
}

// Close closes the current, partial minute as the final record at a graceful stop.
func (t *Tally) Close(now time.Time) {
	t.advance(now)
	t.current.Final = true
	t.closeCurrent(times.Later(now.UTC(), t.current.From))
	t.current = nil
}

// Next returns the oldest closed record and marks it as tried, since it may be in the log from now on.
func (t *Tally) Next() (r *rollup.Rollup, ok bool) {
	if len(t.closed) == 0 {
		return nil, false
	}
	t.closed[0].tried = true
	return t.closed[0].rollup, true
}

// OldestEnd returns the end of the oldest closed record; ok is false if there is none.
func (t *Tally) OldestEnd() (end time.Time, ok bool) {
	if len(t.closed) == 0 {
		return time.Time{}, false
	}
	return t.closed[0].rollup.To, true
}

// MarkWritten removes the closed record with the given id, which is now in the log.
func (t *Tally) MarkWritten(id string) {
	for i, c := range t.closed {
		if c.rollup.ID() != id {
			continue
		}
		t.held -= c.bytes
		t.closed = append(t.closed[:i], t.closed[i+1:]...)
		return
	}
}

// Drop removes the record with the given id, which the log refuses permanently, and adds its loss to the next one.
func (t *Tally) Drop(now time.Time, id string) {
	t.advance(now)
	for i, c := range t.closed {
		if c.rollup.ID() != id {
			continue
		}
		next := t.current
		if i+1 < len(t.closed) {
			next = t.closed[i+1].rollup
		}
		recordLoss(next, c.rollup)
		t.MarkWritten(id)
		return
	}
}

// Pending returns copies of the closed records that wait to be written.
func (t *Tally) Pending() []*rollup.Rollup {
	all := make([]*rollup.Rollup, 0, len(t.closed))
	for _, c := range t.closed {
		all = append(all, c.rollup.Clone())
	}
	return all
}

// Backlog returns how many closed records wait to be written, and their estimated memory in bytes.
func (t *Tally) Backlog() (records, bytes int) { return len(t.closed), t.held }

func (t *Tally) seriesFor(now time.Time, team, kind string) *series.Series {
	t.advance(now)
	s, ok := t.index[key{team, kind}]
	if ok {
		return s
	}
	if len(t.index) >= maxSeries && team != Others {
		return t.seriesFor(now, Others, Others)
	}
	// The names may point into the request's buffer.
	team, kind = strings.Clone(team), strings.Clone(kind)
	s = series.New(team, kind)
	t.index[key{team, kind}] = s
	t.current.Series = append(t.current.Series, s)
	return s
}

// advance closes the current minute once now is outside it, also when the clock was set clockSetBack.
func (t *Tally) advance(now time.Time) {
	now = now.UTC()
	if t.current == nil {
		t.openRecord(now)
		return
	}
	end := t.current.From.Truncate(RecordLength).Add(RecordLength)
	clockSetBack := now.Before(t.current.From.Truncate(RecordLength))
	if !clockSetBack && now.Before(end) {
		return
	}
	t.closeCurrent(end)
	if !clockSetBack && now.Sub(end) >= RecordLength {
		// No call came in between: empty records cover the idle time, so that readers don't take the gap for lost records.
		t.addIdleRecords(end, now.Truncate(RecordLength))
	}
	t.openRecord(t.nextStart(now, end, clockSetBack))
}

func (t *Tally) nextStart(now, end time.Time, clockSetBack bool) time.Time {
	if clockSetBack {
		return now
	}
	return times.Later(end, now.Truncate(RecordLength))
}

func (t *Tally) openRecord(from time.Time) {
	t.seq++
	t.current = &rollup.Rollup{Entry: t.entry, Incarnation: t.incarnation, Seq: t.seq, From: from}
	t.index = make(map[key]*series.Series)
}

// addIdleRecords adds empty records for from..to, split so that none crosses a block boundary.
func (t *Tally) addIdleRecords(from, to time.Time) {
	if to.Sub(from) > maxIdle {
		from = to.Add(-maxIdle)
	}
	for from.Before(to) {
		end := from.Truncate(coarsest).Add(coarsest)
		if end.After(to) {
			end = to
		}
		t.openRecord(from)
		t.closeCurrent(end)
		from = end
	}
}

func (t *Tally) closeCurrent(to time.Time) {
	t.current.To = to
	t.addOpenSpans(t.current)
	t.current.Sort()
	c := &closedRecord{rollup: t.current, bytes: t.current.Footprint()}
	t.closed = append(t.closed, c)
	t.held += c.bytes
	t.shrink()
}

// addOpenSpans adds the open spans to r.
func (t *Tally) addOpenSpans(r *rollup.Rollup) {
	for _, e := range t.spans {
		e.Until, e.Open = times.Later(r.To, e.At), true
		r.AddEvent(e)
	}
}

func (t *Tally) spanIndex(e event.Event) int {
	for i, s := range t.spans {
		if s.Same(e) {
			return i
		}
	}
	return -1
}
