package runs

import (
	"cmp"
	"slices"
	"time"

	"persimmonstage/core/pairs"
)

const (
	// maxShares bounds the number of kinds that are reported with an end.
	maxShares = 8
	// maxRecentRuns bounds the number of ended runs that are kept because another one ran beside them and hasn't ended.
	maxRecentRuns = 512
	// maxKinds bounds the number of runs whose kind is part of a state.
	maxKinds = 64
)

// recentRun is a run that has ended.
type recentRun struct {
	kind         pairs.Kind
	began, ended time.Time
}

// RecordNeighbours makes the table record what runs beside each run.
func (r *Runs) RecordNeighbours() { r.recording = true }

// Beside returns what ran beside an attempt that has ended as done; nil if that wasn't recorded.
func (r *Runs) Beside(name string, attempt uint64) []pairs.Share {
	return r.ends[attemptKey{name, attempt}].beside
}

// Kinds returns the kind of each run at the target that is of one of the given kinds, in ascending order.
func (r *Runs) Kinds(of []pairs.Kind) []pairs.Kind {
	if len(of) == 0 {
		return nil
	}
	var list []pairs.Kind
	for _, u := range r.runs {
		if k := pairs.KindOf(u.order.Route); slices.Contains(of, k) {
			list = append(list, k)
		}
	}
	slices.Sort(list)
	return list[:min(maxKinds, len(list))]
}

// besideRun returns what ran beside a run that ends now and has been removed from the table, the kinds with most runs first.
func (r *Runs) besideRun(now time.Time, u *run) []pairs.Share {
	whole := now.Sub(u.began)
	if !r.recording || u.how != done || whole <= 0 {
		return nil
	}
	var list []pairs.Share
	add := func(k pairs.Kind, began, ended time.Time) {
		if began.Before(u.began) {
			began = u.began
		}
		overlap := float64(ended.Sub(began)) / float64(whole)
		if overlap <= 0 {
			return
		}
		i := slices.IndexFunc(list, func(s pairs.Share) bool { return s.Kind == k })
		if i < 0 {
			list = append(list, pairs.Share{Kind: k})
			i = len(list) - 1
		}
		list[i].Runs += overlap
	}
	for _, o := range r.recent {
		add(o.kind, o.began, o.ended)
	}
	for _, o := range r.runs {
		add(pairs.KindOf(o.order.Route), o.began, now)
	}
	slices.SortFunc(list, func(a, b pairs.Share) int {
		return cmp.Or(cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Kind, b.Kind))
	})
	return list[:min(maxShares, len(list))]
}

// keepRecent keeps a run that has ended for the runs beside it that haven't, and drops those that none of these ran beside.
func (r *Runs) keepRecent(now time.Time, u *run) {
	if !r.recording {
		return
	}
	r.recent = append(r.recent, recentRun{pairs.KindOf(u.order.Route), u.began, now})
	oldest := now
	for _, o := range r.runs {
		if o.began.Before(oldest) {
			oldest = o.began
		}
	}
	r.recent = slices.DeleteFunc(r.recent, func(o recentRun) bool { return !o.ended.After(oldest) })
	if n := len(r.recent) - maxRecentRuns; n > 0 {
		r.recent = slices.Delete(r.recent, 0, n)
	}
}
