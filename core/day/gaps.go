package day

import (
	"slices"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/digest"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/times"
)

// maxRecordDelay is the age of its last record from which an entry that has not stopped counts as missing:
// a minute to fill a record, plus time to write and read it.
const maxRecordDelay = 3 * time.Minute

// coverage is the time that the records of one incarnation cover.
type coverage struct {
	entry   string
	covered []interval // sorted, without overlaps
	lost    []loss
	final   bool
	overdue int64 // of the latest record
}

type interval struct{ from, to time.Time }

type loss struct {
	interval
	jobs int64
}

// cover adds the time that r covers and the loss that it states.
func (d *Day) cover(r *rollup.Rollup) {
	c := d.coverage(r)
	d.coverLoss(r)
	if r.Part > 0 {
		return
	}
	if len(c.covered) == 0 || !r.From.Before(c.last()) {
		c.overdue = r.Overdue
	}
	c.final = c.final || r.Final
	c.add(interval{r.From, r.To})
}

// coverLoss adds the part of the loss stated by r that is within the day; r itself may be of a later day.
func (d *Day) coverLoss(r *rollup.Rollup) bool {
	lost, ok := d.clip(interval{r.LostFrom, r.LostTo})
	if r.LostFrom.IsZero() || !ok {
		return false
	}
	c := d.coverage(r)
	c.lost = append(c.lost, loss{lost, r.LostJobs})
	c.add(lost)
	return true
}

func (d *Day) coverage(r *rollup.Rollup) *coverage {
	c, ok := d.entries[r.Incarnation]
	if !ok {
		c = &coverage{entry: r.Entry}
		d.entries[r.Incarnation] = c
	}
	return c
}

// add merges s into the covered intervals.
func (c *coverage) add(s interval) {
	i, _ := slices.BinarySearchFunc(c.covered, s, func(a, b interval) int { return a.from.Compare(b.from) })
	sorted := slices.Insert(c.covered, i, s)
	c.covered = nil
	for _, next := range sorted {
		last := len(c.covered) - 1
		if last < 0 || next.from.After(c.covered[last].to) {
			c.covered = append(c.covered, next)
			continue
		}
		c.covered[last].to = times.Later(c.covered[last].to, next.to)
	}
}

// clip returns the part of s that is within the day.
func (d *Day) clip(s interval) (part interval, ok bool) {
	part = interval{times.Later(s.from, d.from), times.Earlier(s.to, d.to)}
	return part, part.from.Before(part.to)
}

// addGaps adds the gaps in the records: minutes between records, dropped minutes, and entries that stopped writing.
func (d *Day) addGaps(g *digest.Digest, spans []event.Event, now time.Time) {
	for _, c := range d.entries {
		for i := 1; i < len(c.covered); i++ {
			g.AddGap(c.entry, c.covered[i-1].to, c.covered[i].from, 0, "No record of "+c.entry+" has come for these minutes.")
		}
		for _, l := range c.lost {
			g.AddGap(c.entry, l.from, l.to, l.jobs, c.entry+" could not write these minutes for so long that it had to drop them.")
		}
		d.addMissingEntry(g, c, spans, now)
	}
}

// addMissingEntry adds the gap after an entry that stopped writing before the day's end without a final record.
func (d *Day) addMissingEntry(g *digest.Digest, c *coverage, spans []event.Event, now time.Time) {
	if c.final || len(c.covered) == 0 {
		return
	}
	last := c.last()
	end := times.Earlier(d.to, now)
	if end.Sub(last) <= maxRecordDelay {
		return
	}
	if at, ok := takenOver(c.entry, last, spans); ok {
		g.AddGap(c.entry, last, times.Later(at, last), 0, c.entry+" died and another entry took over; what it had not yet written is missing.")
		return
	}
	if at, ok := d.replaced(c, last); ok {
		g.AddGap(c.entry, last, at, 0, c.entry+" was replaced without a graceful stop; what it had not yet written is missing.")
		return
	}
	g.AddGap(c.entry, last, end, 0, c.entry+" has written nothing since: it died, was cut off, or the log took no records.")
}

// takenOver returns when another entry reported the death of this one after its last record.
// The death itself was earlier, and if the log was down, the last record can be hours older.
func takenOver(entry string, last time.Time, spans []event.Event) (at time.Time, ok bool) {
	for _, e := range spans {
		if e.Cause == cause.EntryLost && e.Subject == entry && !e.End().Before(last) {
			return e.At, true
		}
	}
	return time.Time{}, false
}

// replaced returns the start of the first record of the entry's next incarnation.
func (d *Day) replaced(c *coverage, last time.Time) (at time.Time, ok bool) {
	for _, o := range d.entries {
		if o == c || o.entry != c.entry || len(o.covered) == 0 || o.covered[0].from.Before(last) {
			continue
		}
		if !ok || o.covered[0].from.Before(at) {
			at, ok = o.covered[0].from, true
		}
	}
	return at, ok
}

// active returns the incarnations that still write records.
func (d *Day) active(now time.Time) []*coverage {
	var all []*coverage
	for _, c := range d.entries {
		if c.final || len(c.covered) == 0 || now.Sub(c.last()) > maxRecordDelay {
			continue
		}
		all = append(all, c)
	}
	return all
}

func (c *coverage) last() time.Time { return c.covered[len(c.covered)-1].to }

// overdue sums the jobs open past their deadline in the latest records of the active incarnations.
func (d *Day) overdue(now time.Time) int64 {
	var n int64
	for _, c := range d.active(now) {
		n += c.overdue
	}
	return n
}

// countedTo returns the time up to which all active incarnations have written, zero if none is active.
func (d *Day) countedTo(now time.Time) time.Time {
	var to time.Time
	for i, c := range d.active(now) {
		if i == 0 || c.last().Before(to) {
			to = c.last()
		}
	}
	return to
}
