package score

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ratioUnit is a ratio of 1 in the units of the histograms, thousandths; they hold ratios up to maxRatio.
const (
	ratioUnit = 1000
	maxRatio  = 100_000
	digits    = 3
)

// JobResult is the result of one job; Outcome is that of its answer, or Lost without one.
type JobResult struct {
	Team, Kind      string
	Outcome, Reason string
	Tasks           int
	Response        time.Duration
	// Ideal is the longest run time that the job's tasks requested.
	Ideal time.Duration
	// Floor is the shortest time in which the whole fleet could run the job alone; 0 if unknown.
	Floor time.Duration
}

// Outcomes besides those of the public API.
const (
	Complete = "complete"
	Lost     = "lost"
)

// Row holds the counts and ratios of one team and kind; the ratios are of complete jobs only.
type Row struct {
	Team      string         `json:"team"`
	Kind      string         `json:"kind"`
	Jobs      int            `json:"jobs"`
	Tasks     int            `json:"tasks"`
	Outcomes  map[string]int `json:"outcomes"`
	Reasons   map[string]int `json:"reasons,omitempty"`
	OverIdeal Ratios         `json:"response-over-ideal"`
	OverFloor Ratios         `json:"response-over-floor"`

	ideal *hdrhistogram.Histogram
	floor *hdrhistogram.Histogram
}

// Ratios holds percentiles and the maximum of a distribution of ratios.
type Ratios struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Score holds one Row for each team and kind; the zero value is empty.
type Score struct {
	rows map[[2]string]*Row
}

// Add counts one job.
func (s *Score) Add(e *JobResult) {
	r := s.row(e.Team, e.Kind)
	r.Jobs++
	r.Tasks += e.Tasks
	r.Outcomes[e.Outcome]++
	if e.Outcome != Complete {
		r.Reasons[e.Reason]++
		return
	}
	record(r.ideal, e.Response, e.Ideal)
	record(r.floor, e.Response, max(e.Ideal, e.Floor))
}

// record records the ratio of response to ideal; one above maxRatio is recorded as maxRatio.
func record(h *hdrhistogram.Histogram, response, ideal time.Duration) {
	v := int64(response.Seconds() / ideal.Seconds() * ratioUnit)
	_ = h.RecordValue(min(v, maxRatio*ratioUnit))
}

func (s *Score) row(team, kind string) *Row {
	if s.rows == nil {
		s.rows = make(map[[2]string]*Row)
	}
	key := [2]string{team, kind}
	r := s.rows[key]
	if r == nil {
		r = &Row{Team: team, Kind: kind, Outcomes: map[string]int{}, Reasons: map[string]int{}, ideal: histogram(), floor: histogram()}
		s.rows[key] = r
	}
	return r
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio*ratioUnit, digits) }

// Merge adds the counts of another score.
func (s *Score) Merge(other *Score) {
	for key, from := range other.rows {
		r := s.row(key[0], key[1])
		r.Jobs += from.Jobs
		r.Tasks += from.Tasks
		addCounts(r.Outcomes, from.Outcomes)
		addCounts(r.Reasons, from.Reasons)
		r.ideal.Merge(from.ideal)
		r.floor.Merge(from.floor)
	}
}

func addCounts(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

// Rows returns the rows sorted by team and kind, followed by the row of all work if there is more than one.
func (s *Score) Rows() []*Row {
	var rows []*Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return strings.Compare(a.Team+"/"+a.Kind, b.Team+"/"+b.Kind)
	})
	if len(rows) > 1 {
		rows = append(rows, s.all())
	}
	for _, r := range rows {
		r.OverIdeal, r.OverFloor = ratios(r.ideal), ratios(r.floor)
	}
	return rows
}

// all merges the rows of all teams except FloodTeam into one.
func (s *Score) all() *Row {
	var sum Score
	all := sum.row("all", "all")
	for key, from := range s.rows {
		if key[0] == FloodTeam {
			continue
		}
		part := Score{rows: map[[2]string]*Row{{"all", "all"}: from}}
		sum.Merge(&part)
	}
	return all
}

// FloodTeam is the team whose work makes up a flood; it is left out of sums and comparisons.
const FloodTeam = "flood"

func ratios(h *hdrhistogram.Histogram) Ratios {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioUnit }
	return Ratios{P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Curve returns the ratio of response to ideal time at each of the percentiles.
func (r *Row) Curve(percentiles []float64) []float64 {
	out := make([]float64, len(percentiles))
	for i, q := range percentiles {
		out[i] = float64(r.ideal.ValueAtQuantile(q)) / ratioUnit
	}
	return out
}
