package blame

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonstage/core/crash"
)

const (
	// retention is how long a crash is remembered at least; callers give up and resubmit within seconds. Old crashes are forgotten
	// every forgetPeriod, as everything is inferred anew then.
	retention    = 30 * time.Second
	forgetPeriod = time.Second
	// maxReports is the number of crashes that are kept when there are twice as many.
	maxReports = 256
	// coincidence is the span of crashes of several targets that have a cause in common, such as the power of a rack, or none. A task
	// can't crash two targets in it: the first crash has to be noticed and the task started again. If one of them ran nothing, the
	// cause in common is no task.
	coincidence = 10 * time.Millisecond
	// maxCrashes is the number of crashes under a task after which it is given up in any case.
	maxCrashes = 3
	// provenCrashes is the same for a task that ran as long up to the last two crashes and carries most of the blame of all, on
	// average provenBlame of each.
	provenCrashes = 2
	provenBlame   = 0.5
	// youngestRun is added to run times in weights, so that tasks that were just started share the blame.
	youngestRun = 2 * time.Millisecond
	// recurrenceFactor is the factor on a task's weight for each earlier crash under it, if the run times up to this crash and the
	// last one differ by at most sameRunRatio.
	recurrenceFactor = 4
	sameRunRatio     = 2.0
	// blameSpan is the time constant with which the blame of a route decays.
	blameSpan = 5 * time.Second
	// maxBlame bounds the blame of a route, so that it is released in a bounded time after its last crash.
	maxBlame = 3.0
	// A route is confined from confineBlame on, if it has at least confineFraction of all blame, until its blame is below
	// releaseBlame or releaseFraction of all blame. One task alone doesn't reach confineBlame before it is given up.
	confineBlame    = 1.4
	confineFraction = 0.6
	releaseBlame    = 0.5
	releaseFraction = 0.25
)

// suspect is a task that ran at a target when it crashed.
type suspect struct {
	crashes int
	blamed  int           // crashes that may have been caused by a task
	blame   float64       // sum over these, at most 1 of each
	ran     time.Duration // up to the last of these
	recurs  bool          // whether it ran as long up to the one before the last
}

// recursAt reports whether a task ran as long up to a further crash as up to its last one; s is nil at its first one.
func (s *suspect) recursAt(ran time.Duration) bool {
	if s == nil || s.blamed == 0 {
		return false
	}
	ratio := float64(ran+youngestRun) / float64(s.ran+youngestRun)
	return ratio <= sameRunRatio && ratio >= 1/sameRunRatio
}

// weight returns the weight of a task that ran for a time up to a further crash; s is nil at its first one.
func (s *suspect) weight(ran time.Duration) float64 {
	w := 1 / (ran + youngestRun).Seconds()
	if !s.recursAt(ran) {
		return w
	}
	return w * math.Pow(recurrenceFactor, float64(s.blamed))
}

// routeBlame is the decaying blame of a route.
type routeBlame struct {
	sum      float64
	at       time.Time
	confined bool
}

func (r *routeBlame) decay(now time.Time) {
	r.sum *= math.Exp(-max(0, float64(now.Sub(r.at))) / float64(blameSpan))
	r.at = now
}

// targetReport is a report with the target that crashed.
type targetReport struct {
	target string
	*crash.Report
}

// Blame holds the evidence of the recent crashes; create it with New. It is used by one goroutine. What it infers depends only on
// the reports and not on the order of their arrival, so that all entries infer the same, including one that was just started.
type Blame struct {
	reports []targetReport // by time
	tasks   map[string]*suspect
	routes  map[string]*routeBlame
	first   map[string]time.Time // the first crash of each target
	latest  time.Time            // the first of the latest crashes that coincide
}

// New returns a Blame without evidence.
func New() *Blame {
	b := &Blame{}
	b.clear()
	return b
}

func (b *Blame) clear() {
	b.tasks, b.routes, b.first = make(map[string]*suspect), make(map[string]*routeBlame), make(map[string]time.Time)
}

// Add takes a report of a target's crash and reports whether it is new.
func (b *Blame) Add(target string, r *crash.Report) bool {
	if slices.ContainsFunc(b.reports, func(o targetReport) bool { return o.target == target && o.ID == r.ID }) {
		return false
	}
	added := targetReport{target, r}
	n := len(b.reports)
	b.reports = append(b.reports, added)
	switch {
	case n >= 2*maxReports || n > 0 && b.reports[n-1].compare(added) >= 0:
		slices.SortStableFunc(b.reports, targetReport.compare)
		b.keep(maxReports)
	case n > 0 && r.At.Sub(b.latest) <= coincidence:
		b.infer()
	default:
		b.inferFrom(b.reports[n:])
	}
	return true
}

// compare orders reports by time.
func (r targetReport) compare(o targetReport) int {
	return cmp.Or(r.At.Compare(o.At), cmp.Compare(r.target, o.target))
}

// keep forgets all but the last n reports and infers everything anew.
func (b *Blame) keep(n int) {
	b.reports = slices.Delete(b.reports, 0, max(0, len(b.reports)-n))
	b.infer()
}

// infer works out the blame from the reports.
func (b *Blame) infer() {
	b.clear()
	for rest := b.reports; len(rest) > 0; {
		n := coincidentPrefix(rest)
		b.inferFrom(rest[:n])
		rest = rest[n:]
	}
}

// coincidentPrefix returns the number of reports, by time, that coincide with the first one.
func coincidentPrefix(reports []targetReport) int {
	n := 1
	for n < len(reports) && reports[n].At.Sub(reports[0].At) <= coincidence {
		n++
	}
	return n
}

// inferFrom adds the latest reports, which coincide, to what was inferred from the earlier ones.
func (b *Blame) inferFrom(coincident []targetReport) {
	b.latest = coincident[0].At
	for _, r := range coincident {
		if _, known := b.first[r.target]; !known {
			b.first[r.target] = r.At
		}
	}
	tasks := tasksOf(coincident)
	if slices.ContainsFunc(coincident, targetReport.idle) {
		b.countCrashes(tasks)
		return
	}
	b.blameRoutes(coincident[0].At, b.blameTasks(tasks))
}

// idle reports whether the target ran nothing when it crashed, so that no task is the cause.
func (r targetReport) idle() bool { return len(r.Tasks) == 0 }

// countCrashes adds a crash without blame to the tasks that ran then.
func (b *Blame) countCrashes(tasks []crash.Task) {
	for _, t := range tasks {
		b.suspect(t.Name).crashes++
	}
}

// suspect returns what is known of a task.
func (b *Blame) suspect(task string) *suspect {
	s := b.tasks[task]
	if s == nil {
		s = &suspect{}
		b.tasks[task] = s
	}
	return s
}

// tasksOf returns the tasks that ran at crashes which coincide. A task that was moved from one target to another of them, before
// the second crash was noticed, is returned once, with its run time at the first one.
func tasksOf(coincident []targetReport) []crash.Task {
	if len(coincident) == 1 {
		return coincident[0].Tasks
	}
	var out []crash.Task
	known := make(map[string]bool)
	for _, r := range coincident {
		for _, t := range r.Tasks {
			if !known[t.Name] {
				known[t.Name] = true
				out = append(out, t)
			}
		}
	}
	return out
}

// routeShares is the blame of a crash, or of several that coincide, by route, and whether tasks that were in a
// crash before after the same run time carry most of it.
type routeShares struct {
	shares    map[string]float64
	recurrent bool
}

// blameTasks divides the blame of a crash among the tasks that ran then. A task that was in earlier crashes is more suspect, and so
// is one that was started shortly before: nothing is known of the time that a task runs before it crashes its target, so the
// likelihood falls with the inverse of the run time. A task crashes its targets at about the same point of its run, so that a
// task that was in an earlier crash after another time is no more suspect than others.
func (b *Blame) blameTasks(tasks []crash.Task) routeShares {
	out := routeShares{shares: make(map[string]float64)}
	weights := make([]float64, len(tasks))
	total, recurring := 0.0, 0.0
	for i, t := range tasks {
		s := b.tasks[t.Name]
		weights[i] = s.weight(t.Ran)
		total += weights[i]
	}
	for i, t := range tasks {
		share := weights[i] / total
		out.shares[t.Route] += share
		s := b.suspect(t.Name)
		s.recurs = s.recursAt(t.Ran)
		if s.recurs {
			recurring += share
		}
		s.crashes++
		s.blamed++
		s.blame += share
		s.ran = t.Ran
	}
	out.recurrent = recurring >= provenBlame
	return out
}

// blameRoutes adds a crash to the blame of the routes. A crash that isn't mostly blamed on tasks that recur may have any cause,
// so it counts only against confined routes.
func (b *Blame) blameRoutes(at time.Time, crashed routeShares) {
	for name, share := range crashed.shares {
		r := b.routes[name]
		if r == nil {
			r = &routeBlame{at: at}
			b.routes[name] = r
		}
		r.decay(at)
		if crashed.recurrent || r.confined {
			r.sum = min(maxBlame, r.sum+share)
		}
	}
	b.updateConfined(at)
}

// updateConfined confines and releases routes.
func (b *Blame) updateConfined(now time.Time) {
	total := 0.0
	for _, r := range b.routes {
		r.decay(now)
		total += r.sum
	}
	for _, r := range b.routes {
		if r.confined {
			r.confined = r.sum >= releaseBlame && r.sum >= releaseFraction*total
		} else {
			r.confined = r.sum >= confineBlame && r.sum >= confineFraction*total
		}
	}
}

// Expire forgets old crashes and releases routes whose blame has decayed.
func (b *Blame) Expire(now time.Time) {
	if len(b.reports) > 0 && now.Sub(b.reports[0].At) > retention+forgetPeriod {
		old := slices.IndexFunc(b.reports, func(r targetReport) bool { return now.Sub(r.At) <= retention })
		if old < 0 {
			old = len(b.reports)
		}
		b.keep(len(b.reports) - old)
	}
	b.updateConfined(now)
}

// HasSuspects reports whether there was a recent crash.
func (b *Blame) HasSuspects() bool { return len(b.tasks) > 0 }

// Crashes returns the number of recent crashes under a task.
func (b *Blame) Crashes(task string) int {
	if s := b.tasks[task]; s != nil {
		return s.crashes
	}
	return 0
}

// Proven reports whether a task is to be given up because it crashes targets.
func (b *Blame) Proven(task string) bool {
	s := b.tasks[task]
	if s == nil {
		return false
	}
	return s.crashes >= maxCrashes || s.recurs && s.blamed >= provenCrashes && s.blame >= provenBlame*float64(s.blamed)
}

// Confined returns the names of the confined routes in alphabetical order.
func (b *Blame) Confined() []string {
	var out []string
	for name, r := range b.routes {
		if r.confined {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// FirstCrash returns the time of a target's first recent crash, false if there is none.
func (b *Blame) FirstCrash(target string) (time.Time, bool) {
	at, ok := b.first[target]
	return at, ok
}
