package span

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// generationJobs and generationTime are the number of jobs and the time after which the older generation is dropped.
	generationJobs = 2000
	generationTime = 2 * time.Minute
	// maxRoutes bounds the memory: a route takes about 20 KB. Further routes aren't learned.
	maxRoutes = 1000
	// samplesPerTail is the least number of samples beyond a quantile for it to be known.
	samplesPerTail = 2
	// Ratios are kept in thousandths with an error of 1 %, run times in milliseconds with an error of 10 %.
	milli        = 1000
	lowestRatio  = 10
	highestRatio = 50 * milli
	ratioDigits  = 2
	longestRunMS = 3_600_000
	runDigits    = 1
	percent      = 100
)

// Spans holds the distributions of all routes; the zero value knows none.
type Spans struct{ routes map[string]*route }

// route holds the distributions of one route: the older generation, which is asked, and the younger one.
type route struct {
	older, younger *generation
}

type generation struct {
	begun  time.Time
	ratios *hdrhistogram.Histogram // of run time to estimate
	runs   *hdrhistogram.Histogram // of run times
}

func newGeneration(now time.Time) *generation {
	return &generation{
		begun:  now,
		ratios: hdrhistogram.New(lowestRatio, highestRatio, ratioDigits),
		runs:   hdrhistogram.New(1, longestRunMS, runDigits),
	}
}

func (g *generation) learn(run, estimate time.Duration) {
	// Values beyond the bounds count as the bounds.
	_ = g.runs.RecordValue(min(max(1, run.Milliseconds()), longestRunMS))
	if estimate > 0 {
		_ = g.ratios.RecordValue(min(max(lowestRatio, int64(milli*float64(run)/float64(estimate))), highestRatio))
	}
}

// isOver reports whether a generation has learned for long enough to be dropped once the next one has learned as well.
func (g *generation) isOver(now time.Time) bool {
	return g.runs.TotalCount() >= generationJobs || now.Sub(g.begun) >= generationTime
}

// Learn adds the run time, at a pace of 1, of the longest task of a job, and what was expected of it, 0 if nothing was.
func (s *Spans) Learn(now time.Time, name string, run, estimate time.Duration) {
	if run <= 0 {
		return
	}
	r := s.routes[name]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			return
		}
		if s.routes == nil {
			s.routes = make(map[string]*route)
		}
		g := newGeneration(now)
		r = &route{older: g, younger: g}
		s.routes[name] = r
	}
	if r.younger.isOver(now) {
		r.older, r.younger = r.younger, newGeneration(now)
	}
	r.older.learn(run, estimate)
	if r.younger != r.older {
		r.younger.learn(run, estimate)
	}
}

// Ratio returns a quantile, between 0 and 1, of the ratio of run times to estimates, and whether enough jobs have ended to know it.
func (s *Spans) Ratio(name string, quantile float64) (float64, bool) {
	r := s.routes[name]
	if r == nil || !isKnown(r.older.ratios, quantile) {
		return 0, false
	}
	return float64(r.older.ratios.ValueAtQuantile(percent*quantile)) / milli, true
}

// Run returns a quantile of the run times, and whether enough jobs have ended to know it.
func (s *Spans) Run(name string, quantile float64) (time.Duration, bool) {
	r := s.routes[name]
	if r == nil || !isKnown(r.older.runs, quantile) {
		return 0, false
	}
	return time.Duration(r.older.runs.ValueAtQuantile(percent*quantile)) * time.Millisecond, true
}

// isKnown reports whether enough samples are expected on both sides of a quantile.
func isKnown(h *hdrhistogram.Histogram, quantile float64) bool {
	return min(quantile, 1-quantile)*float64(h.TotalCount()) >= samplesPerTail
}
