package days

import (
	"context"
	"sync"
	"time"
	_ "time/tzdata" // hosts may have no files of time zones

	"persimmonstage/core/day"
	"persimmonstage/core/digest"
	"persimmonstage/core/rollup"
)

const (
	// DefaultKeptDays is how many local days are held, today included, unless SetKeptDays sets another number.
	DefaultKeptDays = 8
	// fresh is how long a page is served again before the log is read for more.
	fresh = 5 * time.Second
	// patience is how long a request waits for the log before it is answered with what is known.
	patience = 2 * time.Second
)

// The statuses of errors.
const (
	malformed = 400
	absent    = 404
)

// own is this entry's writer, whose records may not stand in the log yet.
type own interface {
	Pending() []*rollup.Rollup
	Failing() (since time.Time, reason string, ok bool)
}

// Days holds the accounts of the last days. It reads the log only when somebody asks, so that an entry whose page
// nobody looks at spends nothing on it. It is safe for concurrent use.
type Days struct {
	loc  *time.Location
	own  own
	read reader
	kept int

	mu      sync.Mutex
	days    map[string]*day.Day
	next    int64
	bad     int64
	asOf    time.Time
	lastErr error
	reading chan struct{} // closed when the read in progress ends; nil when none is
	cancel  context.CancelFunc
	pages   map[pageKey]cached
}

// New returns the days in loc, read from log; own may be nil when this process writes no roll-ups.
func New[R record](log client[R], loc *time.Location, own own) *Days {
	return &Days{loc: loc, own: own, read: readerOf(log), days: make(map[string]*day.Day), pages: make(map[pageKey]cached), kept: DefaultKeptDays}
}

// SetKeptDays sets how many local days are held, today included; call it before the first use.
func (d *Days) SetKeptDays(days int) { d.kept = days }

// Close ends a read in progress and waits for it.
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

// Digest returns the account of the day named YYYY-MM-DD, or of today when date is empty; an *Error says why not.
func (d *Days) Digest(ctx context.Context, now time.Time, date string) (*digest.Digest, error) {
	at, err := d.parse(now, date)
	if err != nil {
		return nil, err
	}
	caughtUp := d.refresh(ctx, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	acc := d.account(at)
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

// failing says since when this entry could not write.
func (d *Days) failing() (since time.Time, ok bool) {
	if d.own == nil {
		return time.Time{}, false
	}
	since, _, ok = d.own.Failing()
	return since, ok
}

// annotate says what the account may lack.
func (d *Days) annotate(g *digest.Digest, caughtUp bool) *digest.Digest {
	switch {
	case d.lastErr != nil:
		g.MarkIncomplete("The platform's log can't be read now: other entries' records are " + d.known() + ".")
	case !caughtUp:
		g.MarkIncomplete("The records of the day are still being read; look again in a moment.")
	}
	if d.bad > 0 {
		g.MarkIncomplete(digest.FormatCount(d.bad) + " records could not be understood and are left out.")
	}
	return g
}

func (d *Days) known() string {
	if d.asOf.IsZero() {
		return "not known"
	}
	return "known as of " + d.asOf.In(d.loc).Format("15:04")
}

// parse returns a time within the day asked for.
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
		return time.Time{}, &Error{day: date, reason: "has not begun yet in " + d.loc.String(), status: absent}
	}
	if at.Before(today.From().AddDate(0, 0, 1-d.kept)) {
		return time.Time{}, &Error{day: date, reason: "lies before the last " + digest.FormatCount(int64(d.kept)) + " days, which are kept", status: absent}
	}
	return at, nil
}

// account returns the day that holds at, an empty one if no record of it has been read.
func (d *Days) account(at time.Time) *day.Day {
	name := at.In(d.loc).Format(time.DateOnly)
	acc, ok := d.days[name]
	if !ok {
		acc = day.New(at, d.loc)
		d.days[name] = acc
	}
	return acc
}
