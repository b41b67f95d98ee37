package series

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"persimmonstage/core/cause"
	"persimmonstage/core/ended"
)

const (
	// responseUnit is the resolution of response times; a finer one would enlarge every record of every entry.
	responseUnit = 100 * time.Microsecond
	// highestResponse is the longest response time that is recorded, in units; longer ones count as this.
	highestResponse = int64(time.Hour / responseUnit)
	// ratioUnit represents a ratio of response to ideal time of 1; the histogram holds hundredths.
	ratioUnit    = 100
	highestRatio = 10_000 * ratioUnit
	// responseDigits and ratioDigits are the significant digits of the histograms; 2 keep the error under 1%.
	responseDigits = 2
	ratioDigits    = 2
	// maxSuffered bounds the distinct pairs of outcome and cause in one series; others count under cause.Other.
	maxSuffered = 64
)

// Series holds the counts and times of one team and kind; the zero value is empty and ready to use.
// Its histograms are the library's sparse form, since a minute fills few of their buckets.
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

// Harm describes how a job suffered: its outcome, the cause, and whether its answer came after the deadline.
type Harm struct {
	Outcome ended.Outcome
	Cause   cause.Cause
	Late    bool
}

// count is the number of jobs that suffered in one way; a short list of these takes a tenth of the memory of a map.
type count struct {
	Harm
	jobs int64
}

// New returns the empty series of team and kind.
func New(team, kind string) *Series { return &Series{team: team, kind: kind} }

// AddJobs counts n jobs that ended alike; lateBy is the time after the deadline, zero or negative if the answer was in time.
func (s *Series) AddJobs(o ended.Outcome, c cause.Cause, lateBy time.Duration, n int64) {
	s.jobs[outcomeIndex(o)] += n
	late := lateBy > 0
	if late {
		s.late += n
		s.worstLate = max(s.worstLate, lateBy)
	}
	if o == ended.Complete && !late {
		return
	}
	s.addHarm(Harm{Outcome: o, Cause: c, Late: late}, n)
}

// RecordTime records the response time of one job and its run time alone on the fastest target, zero if unknown.
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

// Merge adds the counts and times of o to s.
func (s *Series) Merge(o *Series) {
	for i, n := range o.jobs {
		s.jobs[i] += n
	}
	for _, c := range o.suffered {
		s.addHarm(c.Harm, c.jobs)
	}
	s.tasks += o.tasks
	s.late += o.late
	s.untimed += o.untimed
	s.worstLate = max(s.worstLate, o.worstLate)
	s.response = mergeHistograms(s.response, o.response)
	s.ratio = mergeHistograms(s.ratio, o.ratio)
}

// Clone returns a copy that shares nothing with s.
func (s *Series) Clone() *Series {
	c := New(s.team, s.kind)
	c.Merge(s)
	return c
}

// DropTimes frees the histograms, counts their jobs as untimed and reports whether there were histograms.
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
func (s *Series) Jobs(o ended.Outcome) int64 { return s.jobs[outcomeIndex(o)] }

// Ended returns how many jobs ended with any outcome.
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

// Untimed returns how many jobs had their times dropped to save memory.
func (s *Series) Untimed() int64 { return s.untimed }

// Suffered returns a copy of the counts of jobs that suffered.
func (s *Series) Suffered() map[Harm]int64 {
	m := make(map[Harm]int64, len(s.suffered))
	for _, c := range s.suffered {
		m[c.Harm] = c.jobs
	}
	return m
}

// Response returns the response time at percentile p (0 to 100), or zero if none was recorded.
func (s *Series) Response(p float64) time.Duration {
	if s.response == nil {
		return 0
	}
	return time.Duration(s.response.ValueAtPercentile(p)) * responseUnit
}

// OverIdeal returns the ratio of response to ideal time at percentile p (0 to 100), or zero if none was recorded.
func (s *Series) OverIdeal(p float64) float64 {
	if s.ratio == nil {
		return 0
	}
	return float64(s.ratio.ValueAtPercentile(p)) / ratioUnit
}

func (s *Series) addHarm(h Harm, n int64) {
	if s.addListed(h, n) {
		return
	}
	if len(s.suffered) >= maxSuffered {
		h.Cause = cause.Other
		if s.addListed(h, n) {
			return
		}
	}
	s.suffered = append(s.suffered, count{h, n})
}

// addListed adds n to the count of h and reports whether h is listed.
func (s *Series) addListed(h Harm, n int64) bool {
	for i := range s.suffered {
		if s.suffered[i].Harm == h {
			s.suffered[i].jobs += n
			return true
		}
	}
	return false
}

// outcomes is the number of outcomes that are counted separately.
const outcomes = 4

// outcomeIndex returns the index of o in jobs; an outcome unknown to this version counts as ended.Unknown, since the job may
// have run.
func outcomeIndex(o ended.Outcome) int {
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

// record records v; a value out of range is recorded as the nearest bound.
func record(h *hdr.PackedHistogram, v, highest int64) {
	v = min(max(v, 1), highest)
	// Can't fail: v is within the range of h.
	_ = h.RecordValue(v)
}

func mergeHistograms(to, from *hdr.PackedHistogram) *hdr.PackedHistogram {
	if from == nil {
		return to
	}
	if to == nil {
		return from.Clone()
	}
	to.Merge(from)
	return to
}
