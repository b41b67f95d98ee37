package digest

import (
	"cmp"
	"slices"
	"time"

	"persimmonstage/core/ended"
	"persimmonstage/core/event"
	"persimmonstage/core/series"
)

// The percentiles that the page shows.
const (
	median = 50
	tail   = 99
)

// New returns the empty digest of the day from..to made at createdAt; the location of from is the zone of the day.
func New(from, to, createdAt time.Time) *Digest {
	loc := from.Location()
	return &Digest{
		Day: from.Format(time.DateOnly), Zone: loc.String(),
		From: from, To: to.In(loc), CreatedAt: createdAt.In(loc),
		Suffered: []*work{}, Reasons: []*reason{}, CallerCaused: []*reason{}, Kinds: []kind{},
		Moments: []moment{}, Slots: []slot{}, Gaps: []gap{}, Notes: []string{},
	}
}

// AddSeries adds the counts of one team and kind over the whole day.
func (d *Digest) AddSeries(s *series.Series) {
	t := &d.Totals
	t.Jobs += s.Ended()
	t.Complete += s.Jobs(ended.Complete)
	t.Failed += s.Jobs(ended.Failed)
	t.Refused += s.Jobs(ended.Refused)
	t.Unknown += s.Jobs(ended.Unknown)
	t.Late += s.Late()
	t.Tasks += s.Tasks()
	t.WorstLateMS = max(t.WorstLateMS, ceilMS(s.WorstLate()))
	d.Kinds = append(d.Kinds, kind{
		Team: s.Team(), Kind: s.Kind(), Jobs: s.Ended(), Complete: s.Jobs(ended.Complete), Tasks: s.Tasks(),
		P50US: s.Response(median).Microseconds(), P99US: s.Response(tail).Microseconds(),
		Ideal50: s.OverIdeal(median), Ideal99: s.OverIdeal(tail), Untimed: s.Untimed(),
	})
}

// AddHarm adds jobs that suffered to their work and to the reasons of the day.
func (d *Digest) AddHarm(h Harm) {
	d.Totals.Suffered += h.Jobs
	w := d.findWork(h.Team, h.Kind)
	if w == nil {
		w = &work{Team: h.Team, Kind: h.Kind}
		d.Suffered = append(d.Suffered, w)
	}
	w.addHarm(h)
	w.Reasons = d.addReason(w.Reasons, h)
	d.Reasons = d.addReason(d.Reasons, h)
}

// AddCallerCaused adds jobs that ended early by the caller's own choice or mistake; they don't count as suffered.
func (d *Digest) AddCallerCaused(h Harm) { d.CallerCaused = d.addReason(d.CallerCaused, h) }

// AddMoment adds an event to the timeline.
func (d *Digest) AddMoment(e event.Event) {
	m := moment{
		At: d.local(e.At), Open: e.Open, Cause: e.Cause,
		Sentence: e.Sentence(), Harmful: e.Cause.Harmful(),
	}
	if e.IsSpan() {
		m.Until = d.local(e.Until)
	}
	d.Moments = append(d.Moments, m)
}

// AddSlot adds the counts of the quarter of an hour from..to.
func (d *Digest) AddSlot(from, to time.Time, fine, late, failed, refused, unknown int64) {
	d.Slots = append(d.Slots, slot{
		From: d.local(from), To: d.local(to),
		Fine: fine, Late: late, Failed: failed, Refused: refused, Unknown: unknown,
	})
}

// AddGap adds a period that is missing from the records of an entry, with the number of its jobs, zero if unknown.
func (d *Digest) AddGap(entry string, from, to time.Time, jobs int64, sentence string) {
	d.Gaps = append(d.Gaps, gap{Entry: entry, From: d.local(from), To: d.local(to), Jobs: jobs, Sentence: sentence})
}

// Finish sorts the lists and sets the verdict; it is called after all parts are added.
func (d *Digest) Finish() {
	for _, k := range d.Kinds {
		if w := d.findWork(k.Team, k.Kind); w != nil {
			w.TotalJobs = k.Jobs
		}
	}
	slices.SortStableFunc(d.Suffered, func(a, b *work) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	for _, w := range d.Suffered {
		sortReasons(w.Reasons)
	}
	sortReasons(d.Reasons)
	sortReasons(d.CallerCaused)
	slices.SortStableFunc(d.Kinds, func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
	})
	slices.SortStableFunc(d.Moments, func(a, b moment) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Sentence, b.Sentence))
	})
	slices.SortStableFunc(d.Gaps, func(a, b gap) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Entry, b.Entry))
	})
	d.setVerdict()
}

func (d *Digest) local(t time.Time) time.Time { return t.In(d.From.Location()) }

func (d *Digest) findWork(team, kind string) *work {
	for _, w := range d.Suffered {
		if w.Team == team && w.Kind == kind {
			return w
		}
	}
	return nil
}

func (w *work) addHarm(h Harm) {
	w.Jobs += h.Jobs
	switch h.Outcome {
	case ended.Failed:
		w.Failed += h.Jobs
	case ended.Refused:
		w.Refused += h.Jobs
	case ended.Unknown:
		w.Unknown += h.Jobs
	}
	if h.Late {
		w.Late += h.Jobs
		w.WorstLateMS = max(w.WorstLateMS, ceilMS(h.WorstLate))
	}
}

// addReason adds h to the reason with its cause and sentence, which is appended to list if new.
func (d *Digest) addReason(list []*reason, h Harm) []*reason {
	var r *reason
	for _, known := range list {
		if known.Cause == h.Cause && known.Sentence == h.Sentence {
			r = known
		}
	}
	if r == nil {
		r = &reason{Cause: h.Cause, Sentence: h.Sentence, First: d.local(h.First), Last: d.local(h.Last)}
		list = append(list, r)
	}
	r.Jobs += h.Jobs
	if h.First.Before(r.First) {
		r.First = d.local(h.First)
	}
	if h.Last.After(r.Last) {
		r.Last = d.local(h.Last)
	}
	if name := WorkName(h.Team, h.Kind); !slices.Contains(r.Works, name) {
		r.Works = append(r.Works, name)
		slices.Sort(r.Works)
	}
	return list
}

func sortReasons(list []*reason) {
	slices.SortStableFunc(list, func(a, b *reason) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), a.First.Compare(b.First), cmp.Compare(a.Sentence, b.Sentence))
	})
}

// WorkName returns the name of a team's kind of work for display.
func WorkName(team, kind string) string {
	switch {
	case kind == "" && team == "":
		return "unnamed work"
	case kind == "":
		return "work from " + team
	case team == "":
		return kind
	default:
		return kind + " from " + team
	}
}

// ceilMS rounds up to milliseconds, so that no late answer shows as late by 0 ms.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
