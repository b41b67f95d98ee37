package rollup

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/series"
)

// MaxEvents bounds the events in one record; further ones are only counted.
const MaxEvents = 256

// Rollup holds the counts and events of one incarnation of an entry between From and To.
// Its id stays the same when it is written again, so that readers count it once.
type Rollup struct {
	// Entry is the name of the entry and Incarnation the id of its process.
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	// Seq numbers the records of an incarnation and Part the pieces of a record that was split.
	Seq  uint64 `json:"seq"`
	Part int    `json:"part,omitempty"`
	// From and To bound the period in UTC.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Series holds one series per team and kind, sorted by these.
	Series []*series.Series `json:"series,omitempty"`
	// Events holds the events of the period, EventsLost the number of those left out.
	Events     []event.Event `json:"events,omitempty"`
	EventsLost int64         `json:"events-lost,omitempty"`
	// Overdue is the highest number of jobs open past their deadline at the same time.
	Overdue int64 `json:"overdue,omitempty"`
	// LostFrom and LostTo bound dropped earlier records, and LostJobs counts their jobs. Records are dropped to stay within
	// the memory bound, or if the log refuses them.
	LostFrom time.Time `json:"lost-from,omitzero"`
	LostTo   time.Time `json:"lost-to,omitzero"`
	LostJobs int64     `json:"lost-jobs,omitempty"`
	// Final means that the entry stopped gracefully and writes no further records.
	Final bool `json:"final,omitempty"`
}

// ID returns the id of the record; a record written twice has the same id.
func (r *Rollup) ID() string {
	return fmt.Sprintf("%s/%d.%d", r.Incarnation, r.Seq, r.Part)
}

// Merge adds o, a later record of the same incarnation, to r.
func (r *Rollup) Merge(o *Rollup) {
	r.To = o.To
	r.Series = mergeSeries(r.Series, o.Series)
	for _, e := range o.Events {
		r.AddEvent(e)
	}
	r.EventsLost += o.EventsLost
	r.Overdue = max(r.Overdue, o.Overdue)
	r.AddLoss(o.LostFrom, o.LostTo, o.LostJobs)
	r.Final = r.Final || o.Final
}

// AddEvent adds e, or replaces the earlier state of the span that e continues. In a full record a harmful event replaces
// one that isn't.
func (r *Rollup) AddEvent(e event.Event) {
	for i, known := range r.Events {
		if known.Same(e) && known.At.Equal(e.At) {
			r.Events[i] = e
			return
		}
	}
	if len(r.Events) < MaxEvents {
		r.Events = append(r.Events, e)
		return
	}
	r.EventsLost++
	if !e.Cause.Harmful() {
		return
	}
	for i, known := range r.Events {
		if !known.Cause.Harmful() {
			r.Events[i] = e
			return
		}
	}
}

// AddLoss states that the given number of jobs between from and to are counted in no record.
func (r *Rollup) AddLoss(from, to time.Time, jobs int64) {
	if from.IsZero() {
		return
	}
	if r.LostFrom.IsZero() || from.Before(r.LostFrom) {
		r.LostFrom = from
	}
	if to.After(r.LostTo) {
		r.LostTo = to
	}
	r.LostJobs += jobs
}

// DropTimes frees the histograms of all series and reports whether there were any.
func (r *Rollup) DropTimes() bool {
	var dropped bool
	for _, s := range r.Series {
		dropped = s.DropTimes() || dropped
	}
	return dropped
}

// Jobs returns how many jobs ended in the period.
func (r *Rollup) Jobs() int64 {
	var n int64
	for _, s := range r.Series {
		n += s.Ended()
	}
	return n
}

// Count returns how many jobs ended with o in the period.
func (r *Rollup) Count(o ended.Outcome) int64 {
	var n int64
	for _, s := range r.Series {
		n += s.Jobs(o)
	}
	return n
}

// Footprint estimates the memory of r in bytes.
func (r *Rollup) Footprint() int {
	const record, perEvent = 256, 160
	n := record + perEvent*len(r.Events)
	for _, s := range r.Series {
		n += s.Footprint()
	}
	return n
}

// Split splits r into records of at most n series each, always in the same way; all but the first hold series only.
func (r *Rollup) Split(n int) []*Rollup {
	if n <= 0 || len(r.Series) <= n {
		return []*Rollup{r}
	}
	first := *r
	first.Series = nil
	parts := []*Rollup{&first}
	for i, some := range slices.Collect(slices.Chunk(r.Series, n)) {
		if i > 0 {
			parts = append(parts, &Rollup{
				Entry: r.Entry, Incarnation: r.Incarnation, Seq: r.Seq, Part: i, From: r.From, To: r.To,
			})
		}
		parts[i].Series = some
	}
	return parts
}

// Clone returns a copy that shares nothing with r.
func (r *Rollup) Clone() *Rollup {
	c := *r
	c.Events = slices.Clone(r.Events)
	c.Series = nil
	for _, s := range r.Series {
		c.Series = append(c.Series, s.Clone())
	}
	return &c
}

// Sort sorts the series by team and kind.
func (r *Rollup) Sort() { slices.SortFunc(r.Series, compareSeries) }

func compareSeries(a, b *series.Series) int {
	return cmp.Or(cmp.Compare(a.Team(), b.Team()), cmp.Compare(a.Kind(), b.Kind()))
}

// mergeSeries merges two sorted lists; series of a are updated in place.
func mergeSeries(a, b []*series.Series) []*series.Series {
	merged := make([]*series.Series, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := compareSeries(a[0], b[0]); {
		case order < 0:
			merged, a = append(merged, a[0]), a[1:]
		case order > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			a[0].Merge(b[0])
			merged, a, b = append(merged, a[0]), a[1:], b[1:]
		}
	}
	merged = append(merged, a...)
	return append(merged, b...)
}
