package series

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
)

const (
	// responseUnit is the resolution of response times; a finer one costs bytes in every record of every entry.
	responseUnit = 100 * time.Microsecond
	// highestResponse bounds the response times that are told apart, in units; longer ones count as the highest.
	highestResponse = int64(time.Hour / responseUnit)
	// ratioUnit is a response over ideal of 1; the histogram holds hundredths.
	ratioUnit    = 100
	highestRatio = 10_000 * ratioUnit
	// responseDigits keeps the error of a response time under 1%, ratioDigits that of the ratio too.
	responseDigits = 2
	ratioDigits    = 2
	// maxSuffered bounds the distinct pairs of outcome and cause in one series; others count under cause.Other.
	maxSuffered = 64
)

// Series is the account of one team and kind; the zero value is empty and works.
// Histograms are the sparse form of the library, as a minute fills few of their buckets.
type Series struct {
	team, kind string
	jobs       [outcomes]int64
	suffered   []count
	tasks      int64
	late       int64
	worstLate  time.Duration
	response   *hdr.PackedHistogram
	ratio      *hdr.PackedHistogram
	untimed    int64
}

// Harm is the way in which a job suffered: how it ended, why, and whether its answer came after the deadline.
type Harm struct {
	Outcome ended.Outcome
	Cause   cause.Cause
	Late    bool
}

// count is how many jobs suffered in one way; a short list of these takes a tenth of the memory of a map.
type count struct {
	Harm
	jobs int64
}

// New returns the empty account of team and kind.
func New(team, kind string) *Series { return &Series{team: team, kind: kind} }

// AddJobs counts n jobs of one end; lateBy is the time after the deadline, negative or zero when the answer came in time.
func (s *Series) AddJobs(o ended.Outcome, c cause.Cause, lateBy time.Duration, n int64) {
	s.jobs[place(o)] += n
	late := lateBy > 0
	if late {
		s.late += n
		s.worstLate = max(s.worstLate, lateBy)
	}
	if o == ended.Complete && !late {
		return
	}
	s.suffer(Harm{Outcome: o, Cause: c, Late: late}, n)
}

// RecordTime records the response time of one job and the time it would have taken alone on the fastest target.
func (s *Series) RecordTime(response, ideal time.Duration) {
	if s.response == nil {
		s.response = hdr.NewPacked(1, highestResponse, responseDigits)
		s.ratio = hdr.NewPacked(1, highestRatio, ratioDigits)
	}
	record(s.response, int64((response+responseUnit/2)/responseUnit), highestResponse)
	if ideal <= 0 {
		return
	}
	record(s.ratio, ratioOf(response, ideal), highestRatio)
}

// AddTasks counts n started tasks.
func (s *Series) AddTasks(n int64) { s.tasks += n }

// Merge adds the account of o to s.
func (s *Series) Merge(o *Series) {
	for i, n := range o.jobs {
		s.jobs[i] += n
	}
	for _, c := range o.suffered {
		s.suffer(c.Harm, c.jobs)
	}
	s.tasks += o.tasks
	s.late += o.late
	s.untimed += o.untimed
	s.worstLate = max(s.worstLate, o.worstLate)
	s.response = merged(s.response, o.response)
	s.ratio = merged(s.ratio, o.ratio)
}

// Clone returns a copy that shares nothing with s.
func (s *Series) Clone() *Series {
	c := New(s.team, s.kind)
	c.Merge(s)
	return c
}

// DropTimes frees the histograms, counts their jobs as untimed and reports whether there were any.
func (s *Series) DropTimes() bool {
	if s.response == nil {
		return false
	}
	s.untimed += s.response.TotalCount()
	s.response, s.ratio = nil, nil
	return true
}

// Footprint estimates the memory of s in bytes.
func (s *Series) Footprint() int {
	const (
		account = 224 // the struct, its names and the pointer to it
		perHarm = 48
	)
	n := account + perHarm*cap(s.suffered)
	if s.response != nil {
		n += s.response.GetMemorySize()
	}
	if s.ratio != nil {
		n += s.ratio.GetMemorySize()
	}
	return n
}

// Team returns the tenant whose jobs are counted.
func (s *Series) Team() string { return s.team }

// Kind returns the kind of work that is counted.
func (s *Series) Kind() string { return s.kind }

// Jobs returns how many jobs ended with o.
func (s *Series) Jobs(o ended.Outcome) int64 { return s.jobs[place(o)] }

// Ended returns how many jobs ended, in whatever way.
func (s *Series) Ended() int64 {
	var n int64
	for _, k := range s.jobs {
		n += k
	}
	return n
}

// Tasks returns how many tasks were started.
func (s *Series) Tasks() int64 { return s.tasks }

// Late returns how many answers came after their deadline.
func (s *Series) Late() int64 { return s.late }

// WorstLate returns the longest time between a deadline and its answer.
func (s *Series) WorstLate() time.Duration { return s.worstLate }

// Untimed returns how many jobs had their times dropped for want of memory.
func (s *Series) Untimed() int64 { return s.untimed }

// Suffered returns a copy of the counts of jobs that suffered.
func (s *Series) Suffered() map[Harm]int64 {
	m := make(map[Harm]int64, len(s.suffered))
	for _, c := range s.suffered {
		m[c.Harm] = c.jobs
	}
	return m
}

// Response returns the response time at percentile p (0 to 100), or zero when none was recorded.
func (s *Series) Response(p float64) time.Duration {
	if s.response == nil {
		return 0
	}
	return time.Duration(s.response.ValueAtPercentile(p)) * responseUnit
}

// OverIdeal returns the response time over the ideal at percentile p (0 to 100), or zero when none was recorded.
func (s *Series) OverIdeal(p float64) float64 {
	if s.ratio == nil {
		return 0
	}
	return float64(s.ratio.ValueAtPercentile(p)) / ratioUnit
}

func (s *Series) suffer(h Harm, n int64) {
	if s.add(h, n) {
		return
	}
	if len(s.suffered) >= maxSuffered {
		h.Cause = cause.Other
		if s.add(h, n) {
			return
		}
	}
	s.suffered = append(s.suffered, count{h, n})
}

// add counts into h if it is listed.
func (s *Series) add(h Harm, n int64) bool {
	for i := range s.suffered {
		if s.suffered[i].Harm == h {
			s.suffered[i].jobs += n
			return true
		}
	}
	return false
}

// outcomes is how many outcomes are told apart.
const outcomes = 4

// place returns where o is counted; an outcome that this version doesn't know may have run.
func place(o ended.Outcome) int {
	switch o {
	case ended.Complete:
		return 0
	case ended.Failed:
		return 1
	case ended.Refused:
		return 2
	default:
		return 3
	}
}

func ratioOf(response, ideal time.Duration) int64 {
	r := float64(response) / float64(ideal) * ratioUnit
	if r >= highestRatio {
		return highestRatio
	}
	return int64(r + 0.5)
}

// record counts v; a value out of range counts as the nearest bound.
func record(h *hdr.PackedHistogram, v, highest int64) {
	v = min(max(v, 1), highest)
	// Can't fail: v is within the range that h was made for.
	_ = h.RecordValue(v)
}

func merged(to, from *hdr.PackedHistogram) *hdr.PackedHistogram {
	if from == nil {
		return to
	}
	if to == nil {
		return from.Clone()
	}
	to.Merge(from)
	return to
}
