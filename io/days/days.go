package days

import (
	"context"
	"sync"
	"time"
	_ "time/tzdata" // hosts may lack time zone files

	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/rollup"
)

const (
	// DefaultKeptDays is the number of local days kept, including today, unless SetKeptDays sets another number.
	DefaultKeptDays = 8
	// cacheTTL is how long a rendered page is served again, and for how long a read of the log counts as current.
	cacheTTL = 5 * time.Second
	// maxReadWait is how long a request waits for a read of the log before it is answered with the records read so far.
	maxReadWait = 2 * time.Second
)

// HTTP statuses of errors.
const (
	malformed = 400
	notFound  = 404
)

// ownWriter is this entry's writer, whose records may not be in the log yet.
type ownWriter interface {
	Pending() []*rollup.Rollup
	Failing() (since time.Time, reason string, ok bool)
}

// Days holds the summaries of the last days. It reads the log only on request, so that an entry whose page isn't viewed
// spends nothing on it. It is safe for concurrent use.
type Days struct {
	loc  *time.Location
	own  ownWriter
	read reader
	kept int

	mu         sync.Mutex
	days       map[string]*day.Day
	next       int64
	badRecords int64
	asOf       time.Time
	lastErr    error
	reading    chan struct{} // closed when the read in progress ends; nil when none is
	cancel     context.CancelFunc
	pages      map[pageKey]cachedBody
}

// New returns the days in loc, read from log; own is nil if this process writes no roll-ups.
func New[R record](log client[R], loc *time.Location, own ownWriter) *Days {
	return &Days{loc: loc, own: own, read: readerOf(log), days: make(map[string]*day.Day), pages: make(map[pageKey]cachedBody), kept: DefaultKeptDays}
}

// SetKeptDays sets the number of local days kept, including today; call it before the first use.
func (d *Days) SetKeptDays(days int) { d.kept = days }

// Close cancels a read in progress and waits for its end.
func (d *Days) Close() {
	d.mu.Lock()
	reading := d.reading
	if d.cancel != nil {
		d.cancel()
	}
	d.mu.Unlock()
	if reading != nil {
		<-reading
	}
}

// Digest returns the digest of the day date in the form YYYY-MM-DD, or of today if it is empty; it fails with an *Error for a
// day that can't be shown.
func (d *Days) Digest(ctx context.Context, now time.Time, date string) (*digest.Digest, error) {
	at, err := d.parse(now, date)
	if err != nil {
		return nil, err
	}
	caughtUp := d.refresh(ctx, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	acc := d.dayOf(at)
	if since, ok := d.failing(); ok {
		acc = acc.Clone()
		for _, r := range d.own.Pending() {
			acc.Add(r)
		}
		g := acc.Digest(now)
		g.MarkIncomplete("The platform's log has taken no records since " + since.In(d.loc).Format("15:04") +
			": from then on this page shows what this entry counted itself.")
		return d.annotate(g, caughtUp), nil
	}
	return d.annotate(acc.Digest(now), caughtUp), nil
}

// failing returns since when this entry's writes to the log have failed.
func (d *Days) failing() (since time.Time, ok bool) {
	if d.own == nil {
		return time.Time{}, false
	}
	since, _, ok = d.own.Failing()
	return since, ok
}

// annotate marks the digest as incomplete if records may be missing.
func (d *Days) annotate(g *digest.Digest, caughtUp bool) *digest.Digest {
	switch {
	case d.lastErr != nil:
		g.MarkIncomplete("The platform's log can't be read now: other entries' records are " + d.lastReadText() + ".")
	case !caughtUp:
		g.MarkIncomplete("The records of the day are still being read; look again in a moment.")
	}
	if d.badRecords > 0 {
		g.MarkIncomplete(digest.FormatCount(d.badRecords) + " records could not be understood and are left out.")
	}
	return g
}

func (d *Days) lastReadText() string {
	if d.asOf.IsZero() {
		return "not known"
	}
	return "known as of " + d.asOf.In(d.loc).Format("15:04")
}

// parse returns a time within the requested day.
func (d *Days) parse(now time.Time, date string) (time.Time, error) {
	if date == "" {
		return now, nil
	}
	at, err := time.ParseInLocation(time.DateOnly, date, d.loc)
	if err != nil {
		return time.Time{}, &Error{day: date, reason: "is not a date in the form YYYY-MM-DD", status: malformed}
	}
	today := day.New(now, d.loc)
	if !at.Before(today.To()) {
		return time.Time{}, &Error{day: date, reason: "has not begun yet in " + d.loc.String(), status: notFound}
	}
	if at.Before(today.From().AddDate(0, 0, 1-d.kept)) {
		return time.Time{}, &Error{day: date, reason: "lies before the last " + digest.FormatCount(int64(d.kept)) + " days, which are kept", status: notFound}
	}
	return at, nil
}

// dayOf returns the day that contains at, an empty one if none of its records has been read.
func (d *Days) dayOf(at time.Time) *day.Day {
	name := at.In(d.loc).Format(time.DateOnly)
	acc, ok := d.days[name]
	if !ok {
		acc = day.New(at, d.loc)
		d.days[name] = acc
	}
	return acc
}
