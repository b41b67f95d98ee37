package regret

import (
	"cmp"
	"slices"
	"time"

	"persimmonstage/core/record"
)

const (
	// window is the length of a row of the report.
	window = 2 * time.Second
	// span is how much of the log is worked out at once.
	span = 5 * window
	// settle is how long after its arrival a job has ended in any case.
	settle = 5 * time.Second
	// slice is the resolution of the capacity.
	slice = 100 * time.Millisecond
)

// Row is a window of the report; values are sums over the jobs that arrived in it, those of a kind times its weight.
type Row struct {
	At     time.Duration // from the first job
	Jobs   int
	Owed   float64 // if all jobs were answered within their objectives
	Earned float64
	Bound  float64            // no dispatcher could have earned more
	Lost   map[string]float64 // what the jobs earned less than owed, by reason
	Errors Errors
}

// Report works out the rows from log lines; create it with New.
type Report struct {
	weights map[string]float64
	jobs    map[string]*job
	fleet   fleet
	from    time.Time // the arrival of the first job
	next    time.Time // from where on jobs have not been worked out
	rows    []Row
}

// New returns a report in which the jobs of a kind count as often as weights says, and others once.
func New(weights map[string]float64) *Report {
	return &Report{
		weights: weights, jobs: make(map[string]*job),
		fleet: fleet{spans: make(map[string][]capacity), lastLine: make(map[string]time.Time)},
	}
}

// Add adds a log line; lines have to be added in order of time.
func (r *Report) Add(text string) {
	if l, ok := record.Parse(text); ok {
		r.add(&l)
	}
}

func (r *Report) add(l *record.Record) {
	if !r.next.IsZero() && l.At.After(r.next.Add(span+settle)) {
		r.close()
	}
	if l.Role == "agent" {
		r.fleet.line(l)
	}
	switch l.Message {
	case record.JobTaken:
		if r.next.IsZero() {
			r.from, r.next = l.At, l.At
		}
		r.jobTaken(l)
	case record.JobEnded:
		r.jobEnded(l)
	case record.AttemptEnded:
		r.attemptEnded(l)
	case record.TaskMoved:
		if j := r.jobs[l.Text("id")]; j != nil {
			j.moved = true
		}
	case record.TargetState:
		r.fleet.state(l)
	}
}

// Rows works out what is left and returns all windows.
func (r *Report) Rows() []Row {
	for len(r.jobs) > 0 {
		r.close()
	}
	return r.rows
}

// close works out the jobs of the next span and forgets them.
func (r *Report) close() {
	end := r.next.Add(span)
	var list []*job
	for id, j := range r.jobs {
		if j.arrived.Before(end) {
			list = append(list, j)
			delete(r.jobs, id)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	bounds := r.bounds(list)
	for i := range int(span / window) {
		r.rows = append(r.rows, Row{At: r.next.Add(time.Duration(i) * window).Sub(r.from), Lost: map[string]float64{}})
	}
	rows := r.rows[len(r.rows)-int(span/window):]
	for i, j := range list {
		at := min(len(rows)-1, max(0, int(j.arrived.Sub(r.next)/window)))
		rows[at].add(j, bounds[i], r.weight(j))
	}
	r.next = end
	r.fleet.drop(end)
}

func (w *Row) add(j *job, bound, weight float64) {
	w.Jobs++
	w.Errors.add(j)
	w.Owed += weight
	w.Earned += weight * j.earned
	w.Bound += weight * bound
	if j.earned < 1 {
		w.Lost[j.reason] += weight * (1 - j.earned)
	}
}

func (r *Report) weight(j *job) float64 {
	if w, ok := r.weights[j.kind]; ok {
		return w
	}
	return 1
}

// bounds returns what each job earns in an upper bound of all schedules. What a schedule earns is lateValue for each job that is
// answered while of use, and the rest of its value for each that is answered within its objective; the bound takes the most for
// each of the two sums.
func (r *Report) bounds(list []*job) []float64 {
	capacity := r.fleet.slices(r.next, int((span+settle)/slice))
	out := make([]float64, len(list))
	for _, part := range []struct {
		value float64
		until func(j *job) time.Time
	}{
		{1 - lateValue, func(j *job) time.Time { return j.objective }},
		{lateValue, func(j *job) time.Time { return j.useful }},
	} {
		demands := r.demands(list, len(capacity), part.value, part.until)
		for i, done := range fill(capacity, demands) {
			out[demands[i].job] += part.value * done
		}
	}
	return out
}

// demands returns the work of the jobs that can end in time.
func (r *Report) demands(list []*job, n int, value float64, until func(j *job) time.Time) []demand {
	var out []demand
	for i, j := range list {
		from, last := int(j.arrived.Sub(r.next)/slice), int(until(j).Sub(r.next)/slice)
		if j.work > 0 && from >= 0 && from < n && until(j).After(j.arrived) {
			out = append(out, demand{job: i, from: from, until: min(last, n-1), work: j.work, value: value * r.weight(j)})
		}
	}
	return out
}

// Open returns the number of jobs that are kept until their window is worked out.
func (r *Report) Open() int { return len(r.jobs) }
