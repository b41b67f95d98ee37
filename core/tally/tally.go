package tally

import (
	"strings"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/series"
	"persimmonstage/core/surge"
	"persimmonstage/core/when"
)

const (
	// RecordLength is the length of a record while the log takes them.
	RecordLength = time.Minute
	// DefaultBound is the memory in bytes that closed minutes may take while the log takes none.
	DefaultBound = 16 << 20
	// maxSeries bounds the pairs of team and kind in one minute; further ones share an account.
	maxSeries = 1024
	// maxSpans bounds the spans that last at once; further ones are counted as lost events.
	maxSpans = rollup.MaxEvents
	// Others is the team and the kind of the shared account.
	Others = "(others)"
	// Unknown is the team of requests that didn't prove whose they are.
	Unknown = "(unknown)"
)

// Tally is the account of one incarnation of an entry; the zero value counts for an entry without a name.
// It is stepped by the goroutine that owns the control state, and is not safe for concurrent use.
type Tally struct {
	entry, incarnation string
	bound              int

	seq     uint64
	current *rollup.Rollup
	index   map[key]*series.Series
	spans   []event.Event
	closed  []*closed
	held    int // estimated bytes of closed
	surge   surge.Detector
}

type key struct{ team, kind string }

// closed is a record that waits to be written; once tried it may stand in the log, so it is never changed again.
type closed struct {
	rollup *rollup.Rollup
	bytes  int
	tried  bool
}

// New returns the account of an entry's process; incarnation must be unique to the process.
func New(entry, incarnation string) *Tally {
	return &Tally{entry: entry, incarnation: incarnation}
}

// SetBound sets the memory in bytes that closed minutes may take; zero means DefaultBound.
func (t *Tally) SetBound(bytes int) { t.bound = bytes }

// JobEnded counts one job: lateBy is the time from its deadline to its answer, zero or less when in time;
// ideal is the time that it would have taken alone on the fastest target, zero when not known.
func (t *Tally) JobEnded(now time.Time, team, kind string, o ended.Outcome, c cause.Cause, response, ideal, lateBy time.Duration, tasks int) {
	s := t.account(now, team, kind)
	s.AddJobs(o, c, lateBy, 1)
	s.AddTasks(int64(tasks))
	if lateBy > 0 || lacksRoom(c) {
		t.surge.AddShortage(team, kind)
	}
	if o == ended.Complete {
		s.RecordTime(response, ideal)
	}
}

// Refused counts one job of which nothing was run. A request that was turned away before it proved whose it is
// counts under Unknown, so that invented names can't take the accounts of teams.
func (t *Tally) Refused(now time.Time, team, kind string, c cause.Cause) {
	if c == cause.Unauthorised || c == cause.BadRequest {
		team, kind = Unknown, ""
	}
	t.account(now, team, kind).AddJobs(ended.Refused, c, 0, 1)
	if lacksRoom(c) {
		t.surge.AddShortage(team, kind)
	}
}

// Event notes that e happened; a zero time of e means now.
func (t *Tally) Event(now time.Time, e event.Event) {
	t.advance(now)
	if e.At.IsZero() {
		e.At = now.UTC()
	}
	t.current.AddEvent(e)
}

// Begin notes that e lasts, from its own time or from now on; a span of the same name that already lasts is kept.
func (t *Tally) Begin(now time.Time, e event.Event) {
	t.advance(now)
	if t.span(e) >= 0 {
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

// End notes that e, begun before, ended now; without a beginning it does nothing.
func (t *Tally) End(now time.Time, e event.Event) {
	t.advance(now)
	i := t.span(e)
	if i < 0 {
		return
	}
	over := t.spans[i]
	over.Until = now.UTC()
	t.spans = append(t.spans[:i], t.spans[i+1:]...)
	t.current.AddEvent(over)
}

// Overdue notes that n jobs are open past their deadline now.
func (t *Tally) Overdue(now time.Time, n int) {
	t.advance(now)
	t.current.Overdue = max(t.current.Overdue, int64(n))
}

// Advance closes the minute that now has left, and notes the floods that began or ended; call it every second.
func (t *Tally) Advance(now time.Time) {
	t.advance(now)
	t.judge(now)
}

// Close ends the account at a graceful stop, with the part of the minute that has passed.
func (t *Tally) Close(now time.Time) {
	t.advance(now)
	t.current.Final = true
	t.finish(when.Later(now.UTC(), t.current.From))
	t.current = nil
}

// Next returns the oldest closed record and freezes it, as it may stand in the log from now on.
func (t *Tally) Next() (r *rollup.Rollup, ok bool) {
	if len(t.closed) == 0 {
		return nil, false
	}
	t.closed[0].tried = true
	return t.closed[0].rollup, true
}

// OldestEnd returns when the oldest closed record ends; ok is false when none waits.
func (t *Tally) OldestEnd() (end time.Time, ok bool) {
	if len(t.closed) == 0 {
		return time.Time{}, false
	}
	return t.closed[0].rollup.To, true
}

// MarkWritten drops the record of that id, which stands in the log.
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

// Drop gives up the record of that id, which the log refuses for good, and notes the loss in the next one.
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
		lose(next, c.rollup)
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

func (t *Tally) account(now time.Time, team, kind string) *series.Series {
	t.advance(now)
	s, ok := t.index[key{team, kind}]
	if ok {
		return s
	}
	if len(t.index) >= maxSeries && team != Others {
		return t.account(now, Others, Others)
	}
	// The names may point into a buffer of the request.
	team, kind = strings.Clone(team), strings.Clone(kind)
	s = series.New(team, kind)
	t.index[key{team, kind}] = s
	t.current.Series = append(t.current.Series, s)
	return s
}

// advance closes the current minute once now lies outside it, also when the clock was set back.
func (t *Tally) advance(now time.Time) {
	now = now.UTC()
	if t.current == nil {
		t.begin(now)
		return
	}
	end := t.current.From.Truncate(RecordLength).Add(RecordLength)
	back := now.Before(t.current.From.Truncate(RecordLength))
	if !back && now.Before(end) {
		return
	}
	t.finish(end)
	if !back && now.Sub(end) >= RecordLength {
		// Nothing was called in between: one record covers the quiet time, so that no gap is read as a loss.
		t.quiet(end, now.Truncate(RecordLength))
	}
	t.begin(t.start(now, end, back))
}

func (t *Tally) start(now, end time.Time, back bool) time.Time {
	if back {
		return now
	}
	return when.Later(end, now.Truncate(RecordLength))
}

func (t *Tally) begin(from time.Time) {
	t.seq++
	t.current = &rollup.Rollup{Entry: t.entry, Incarnation: t.incarnation, Seq: t.seq, From: from}
	t.index = make(map[key]*series.Series)
}

// quiet closes the stretch from..to block by block, so that no record reaches beyond the border of a block.
func (t *Tally) quiet(from, to time.Time) {
	if to.Sub(from) > maxQuiet {
		from = to.Add(-maxQuiet)
	}
	for from.Before(to) {
		end := from.Truncate(coarsest).Add(coarsest)
		if end.After(to) {
			end = to
		}
		t.begin(from)
		t.finish(end)
		from = end
	}
}

func (t *Tally) finish(to time.Time) {
	t.current.To = to
	t.tellSpans(t.current)
	t.current.Sort()
	c := &closed{rollup: t.current, bytes: t.current.Footprint()}
	t.closed = append(t.closed, c)
	t.held += c.bytes
	t.shrink()
}

// tellSpans adds the spans that still last to r.
func (t *Tally) tellSpans(r *rollup.Rollup) {
	for _, e := range t.spans {
		e.Until, e.Open = when.Later(r.To, e.At), true
		r.AddEvent(e)
	}
}

func (t *Tally) span(e event.Event) int {
	for i, s := range t.spans {
		if s.Same(e) {
			return i
		}
	}
	return -1
}
