package day

import (
	"slices"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/digest"
	"persimmonstage/core/event"
	"persimmonstage/core/rollup"
	"persimmonstage/core/when"
)

// silence is how long after its last record an entry that has not stopped is taken as missing:
// a minute to fill a record, and time for it to be written and read.
const silence = 3 * time.Minute

// coverage is the time that the records of one incarnation cover.
type coverage struct {
	entry   string
	done    []stretch // sorted and apart from each other
	lost    []loss
	final   bool
	overdue int64 // of the latest record
}

type stretch struct{ from, to time.Time }

type loss struct {
	stretch
	jobs int64
}

// cover notes the time that r covers, and the loss that it states.
func (d *Day) cover(r *rollup.Rollup) {
	c := d.coverage(r)
	d.coverLoss(r)
	if r.Part > 0 {
		return
	}
	if len(c.done) == 0 || !r.From.Before(c.last()) {
		c.overdue = r.Overdue
	}
	c.final = c.final || r.Final
	c.add(stretch{r.From, r.To})
}

// coverLoss notes the loss that r states, as far as it lies in the day; r itself may be of a later day.
func (d *Day) coverLoss(r *rollup.Rollup) bool {
	lost, ok := d.clip(stretch{r.LostFrom, r.LostTo})
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

// add merges s into the stretches covered.
func (c *coverage) add(s stretch) {
	i, _ := slices.BinarySearchFunc(c.done, s, func(a, b stretch) int { return a.from.Compare(b.from) })
	apart := slices.Insert(c.done, i, s)
	c.done = nil
	for _, next := range apart {
		last := len(c.done) - 1
		if last < 0 || next.from.After(c.done[last].to) {
			c.done = append(c.done, next)
			continue
		}
		c.done[last].to = when.Later(c.done[last].to, next.to)
	}
}

// clip returns the part of s that lies in the day.
func (d *Day) clip(s stretch) (part stretch, ok bool) {
	part = stretch{when.Later(s.from, d.from), when.Earlier(s.to, d.to)}
	return part, part.from.Before(part.to)
}

// gaps tells what the accounts lack: minutes between records, minutes dropped, and entries that fell silent.
func (d *Day) gaps(g *digest.Digest, spans []event.Event, now time.Time) {
	for _, c := range d.entries {
		for i := 1; i < len(c.done); i++ {
			g.AddGap(c.entry, c.done[i-1].to, c.done[i].from, 0, "No record of "+c.entry+" has come for these minutes.")
		}
		for _, l := range c.lost {
			g.AddGap(c.entry, l.from, l.to, l.jobs, c.entry+" could not write these minutes for so long that it had to drop them.")
		}
		d.silent(g, c, spans, now)
	}
}

// silent tells of an entry that stopped without a word before the day's end.
func (d *Day) silent(g *digest.Digest, c *coverage, spans []event.Event, now time.Time) {
	if c.final || len(c.done) == 0 {
		return
	}
	last := c.last()
	end := when.Earlier(d.to, now)
	if end.Sub(last) <= silence {
		return
	}
	if at, ok := takenOver(c.entry, last, spans); ok {
		g.AddGap(c.entry, last, when.Later(at, last), 0, c.entry+" died and another entry took over; what it had not yet written is missing.")
		return
	}
	if at, ok := d.replaced(c, last); ok {
		g.AddGap(c.entry, last, at, 0, c.entry+" was replaced without a graceful stop; what it had not yet written is missing.")
		return
	}
	g.AddGap(c.entry, last, end, 0, c.entry+" has written nothing since: it died, was cut off, or the log took no records.")
}

// takenOver returns when another entry told of the death of this one after its last record.
// The death itself was earlier, and with the log down the last record can be hours older.
func takenOver(entry string, last time.Time, spans []event.Event) (at time.Time, ok bool) {
	for _, e := range spans {
		if e.Cause == cause.EntryLost && e.Subject == entry && !e.End().Before(last) {
			return e.At, true
		}
	}
	return time.Time{}, false
}

// replaced returns when the next incarnation of the same entry began to write.
func (d *Day) replaced(c *coverage, last time.Time) (at time.Time, ok bool) {
	for _, o := range d.entries {
		if o == c || o.entry != c.entry || len(o.done) == 0 || o.done[0].from.Before(last) {
			continue
		}
		if !ok || o.done[0].from.Before(at) {
			at, ok = o.done[0].from, true
		}
	}
	return at, ok
}

// writing returns the entries that still write records.
func (d *Day) writing(now time.Time) []*coverage {
	var all []*coverage
	for _, c := range d.entries {
		if c.final || len(c.done) == 0 || now.Sub(c.last()) > silence {
			continue
		}
		all = append(all, c)
	}
	return all
}

func (c *coverage) last() time.Time { return c.done[len(c.done)-1].to }

// overdue sums the jobs open past their deadline in the latest record of each entry that still writes.
func (d *Day) overdue(now time.Time) int64 {
	var n int64
	for _, c := range d.writing(now) {
		n += c.overdue
	}
	return n
}

// countedTo returns until when all entries that still write have written, zero when none does.
func (d *Day) countedTo(now time.Time) time.Time {
	var to time.Time
	for i, c := range d.writing(now) {
		if i == 0 || c.last().Before(to) {
			to = c.last()
		}
	}
	return to
}
