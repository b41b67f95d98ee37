package day

import (
	"maps"
	"slices"
	"time"

	"persimmonstage/core/digest"
	"persimmonstage/core/rollup"
	"persimmonstage/core/series"
)

const (
	// SlotLength is the resolution of the timeline.
	SlotLength = 15 * time.Minute
	// maxSeries bounds the distinct pairs of team and kind of a day; further ones share the series others.
	maxSeries = 4096
	others    = "(others)"
)

// Day is the summary of a local day, merged from the records of all entries in any order.
// A record that is added more than once counts once. It is not safe for concurrent use.
type Day struct {
	from, to     time.Time
	seen         map[recordKey]struct{}
	total        map[workKey]*series.Series
	slots        []slot
	harms        harms
	events       events
	entries      map[string]*coverage
	worstOverdue int64
}

type recordKey struct {
	incarnation string
	seq         uint64
	part        int
}

type workKey struct{ team, kind string }

type slot struct {
	from, to                             time.Time
	fine, late, failed, refused, unknown int64
}

// New returns the empty summary of the day in loc that contains t; it may have 23 or 25 hours.
func New(t time.Time, loc *time.Location) *Day {
	y, m, date := t.In(loc).Date()
	d := &Day{
		from:    time.Date(y, m, date, 0, 0, 0, 0, loc),
		to:      time.Date(y, m, date+1, 0, 0, 0, 0, loc),
		seen:    make(map[recordKey]struct{}),
		total:   make(map[workKey]*series.Series),
		entries: make(map[string]*coverage),
	}
	for at := d.from; at.Before(d.to); at = at.Add(SlotLength) {
		end := at.Add(SlotLength)
		if end.After(d.to) {
			end = d.to
		}
		d.slots = append(d.slots, slot{from: at, to: end})
	}
	return d
}

// Clone returns a copy that shares nothing with d.
func (d *Day) Clone() *Day {
	c := *d
	c.seen = maps.Clone(d.seen)
	c.slots = slices.Clone(d.slots)
	c.total = make(map[workKey]*series.Series, len(d.total))
	for k, s := range d.total {
		c.total[k] = s.Clone()
	}
	c.harms = d.harms.clone()
	c.events.reported = maps.Clone(d.events.reported)
	c.entries = make(map[string]*coverage, len(d.entries))
	for k, e := range d.entries {
		own := *e
		own.covered, own.lost = slices.Clone(e.covered), slices.Clone(e.lost)
		c.entries[k] = &own
	}
	return &c
}

// From returns the start of the day.
func (d *Day) From() time.Time { return d.from }

// To returns the end of the day.
func (d *Day) To() time.Time { return d.to }

// Contains reports whether t is within the day.
func (d *Day) Contains(t time.Time) bool { return !t.Before(d.from) && t.Before(d.to) }

// Records returns how many distinct records were added.
func (d *Day) Records() int { return len(d.seen) }

// Add adds r and reports whether it was new and of this day; a record belongs to the day in which it starts.
func (d *Day) Add(r *rollup.Rollup) bool {
	key := recordKey{r.Incarnation, r.Seq, r.Part}
	if _, again := d.seen[key]; again {
		return false
	}
	if !d.Contains(r.From) {
		if d.coverLoss(r) {
			d.seen[key] = struct{}{}
		}
		return false
	}
	d.seen[key] = struct{}{}
	for _, s := range r.Series {
		d.addSeries(r, s)
	}
	for _, e := range r.Events {
		d.events.add(r.Incarnation, e)
	}
	d.events.lost += r.EventsLost
	d.worstOverdue = max(d.worstOverdue, r.Overdue)
	d.cover(r)
	return true
}

func (d *Day) addSeries(r *rollup.Rollup, s *series.Series) {
	key := workKey{s.Team(), s.Kind()}
	t, ok := d.total[key]
	if !ok && len(d.total) >= maxSeries {
		key = workKey{others, others}
		t, ok = d.total[key]
	}
	if !ok {
		t = series.New(key.team, key.kind)
		d.total[key] = t
	}
	t.Merge(s)
	bad := d.harms.add(key, r.From, r.To, s)
	d.slotOf(r.From).add(s, bad)
}

func (d *Day) slotOf(t time.Time) *slot {
	i := int(t.Sub(d.from) / SlotLength)
	return &d.slots[min(i, len(d.slots)-1)]
}

// Digest returns the digest of the day for the business's owner, as of now.
func (d *Day) Digest(now time.Time) *digest.Digest {
	g := digest.New(d.from, d.to, now)
	spans := d.events.merged()
	for _, h := range d.harms.explained(spans) {
		if h.Cause.CallerCaused() && !h.Late {
			g.AddCallerCaused(h)
			continue
		}
		g.AddHarm(h)
	}
	for _, s := range d.total {
		g.AddSeries(s)
	}
	for _, s := range d.slots {
		g.AddSlot(s.from, s.to, s.fine, s.late, s.failed, s.refused, s.unknown)
	}
	d.addMoments(g, spans)
	d.addGaps(g, spans, now)
	g.Records = d.Records()
	if to := d.countedTo(now); !to.IsZero() {
		g.CountedTo = to.In(d.from.Location())
	}
	g.OverdueWorst = d.worstOverdue
	g.Overdue = d.overdue(now)
	g.Finish()
	return g
}
