package flood

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
)

const (
	// window is the time over which work is counted before it is evaluated.
	window = 10 * time.Second
	// usualWindows is the number of windows over which the usual rate is averaged.
	usualWindows = 60
	// learningWindows is the number of windows that must have passed before a flood is reported.
	learningWindows = 12
	// Capacity is short when at least minShortTasks tasks in a window, and at least one in shortTaskDivisor, lacked it.
	minShortTasks    = 20
	shortTaskDivisor = 20
	// A flood begins when a share submits at least floodFactor times its usual rate, and at least one in floodShareDivisor of
	// all tasks.
	floodFactor       = 3
	floodShareDivisor = 10
	// calmWindows is the number of consecutive windows without a shortage, or below 1.5 times the usual rate, that end a flood.
	calmWindows = 3
	// maxShares limits the tracked pairs of team and kind.
	maxShares = 1024
)

// A flood needs both signs: capacity is short, and a share submits far more than usual. Lost targets alone can cause a
// shortage, and a high rate alone does no harm.

// Detector watches the work of one entry; the zero value is ready. It is not safe for concurrent use.
type Detector struct {
	end     time.Time // of the current window
	windows int
	shares  map[shareKey]*share
}

type shareKey struct{ team, kind string }

type share struct {
	urgency   int
	jobs      int64
	submitted int64   // tasks
	short     int64   // jobs refused or late for lack of capacity
	usual     float64 // tasks per window
	calm      int
	flood     cause.Cause // empty while there is no flood
}

// AddJob counts a submitted job with its number of tasks; a higher urgency goes first.
func (s *Detector) AddJob(team, kind string, urgency, tasks int) {
	if w := s.share(team, kind); w != nil {
		w.urgency = urgency
		w.jobs++
		w.submitted += int64(tasks)
	}
}

// AddShortage counts a job, already counted by AddJob, that was refused or late for lack of capacity.
func (s *Detector) AddShortage(team, kind string) {
	if w := s.share(team, kind); w != nil {
		w.short++
	}
}

// Step evaluates the window that has passed, if any, and returns the floods that began and ended; call it every second.
func (s *Detector) Step(now time.Time) (begun, ended []event.Event) {
	if s.end.IsZero() {
		s.end = now.Add(window)
	}
	if now.Before(s.end) {
		return nil, nil
	}
	// After a pause of several windows there are still only the counts of one.
	s.end = now.Add(window)
	s.windows++
	short, all := s.shortage()
	for key, w := range s.shares {
		e := event.Event{Team: key.team, Kind: key.kind}
		switch {
		case w.flood == "" && s.isFlood(w, short, all):
			w.flood, w.calm = s.floodCause(w), 0
			e.Cause = w.flood
			begun = append(begun, e)
		case w.flood != "" && w.hasEnded(short):
			e.Cause = w.flood
			w.flood = ""
			ended = append(ended, e)
		}
	}
	s.startWindow()
	slices.SortFunc(begun, compare)
	slices.SortFunc(ended, compare)
	return begun, ended
}

func (s *Detector) share(team, kind string) *share {
	key := shareKey{team, kind}
	w, ok := s.shares[key]
	if ok {
		return w
	}
	if len(s.shares) >= maxShares {
		return nil
	}
	if s.shares == nil {
		s.shares = make(map[shareKey]*share)
	}
	w = &share{}
	// The names may point into a buffer of the request.
	s.shares[shareKey{strings.Clone(team), strings.Clone(kind)}] = w
	return w
}

// shortage reports whether capacity was short in the window, and how many tasks were submitted in total.
func (s *Detector) shortage() (short bool, all int64) {
	var shortTasks int64
	for _, w := range s.shares {
		all += w.submitted
		// A refusal has no job size, so the mean size of the submitted jobs is used.
		shortTasks += w.short * max(w.submitted, 1) / max(w.jobs, 1)
	}
	return shortTasks >= minShortTasks && shortTasks*shortTaskDivisor >= all, all
}

func (s *Detector) isFlood(w *share, short bool, all int64) bool {
	return short && s.windows > learningWindows &&
		float64(w.submitted) >= floodFactor*max(w.usual, 1) && w.submitted*floodShareDivisor >= all
}

// hasEnded counts calm windows and reports whether a flood has ended.
func (w *share) hasEnded(short bool) bool {
	const endFactor = 1.5
	if short && float64(w.submitted) >= endFactor*max(w.usual, 1) {
		w.calm = 0
		return false
	}
	w.calm++
	return w.calm >= calmWindows
}

// floodCause compares the urgency of a flood with that of the other work submitted in the window.
func (s *Detector) floodCause(flood *share) cause.Cause {
	above, below := false, false
	for _, w := range s.shares {
		if w == flood || w.submitted == 0 {
			continue
		}
		above = above || w.urgency > flood.urgency
		below = below || w.urgency < flood.urgency
	}
	switch {
	case below && !above:
		return cause.FloodMostUrgent
	case above && !below:
		return cause.FloodLeastUrgent
	default:
		return cause.Flood
	}
}

// startWindow updates the usual rates, which floods don't change, drops shares that are long gone, and starts the next
// window.
func (s *Detector) startWindow() {
	const negligible = 0.01 // tasks per window
	weight := 1 / float64(min(s.windows, usualWindows))
	for key, w := range s.shares {
		if w.flood == "" {
			w.usual += (float64(w.submitted) - w.usual) * weight
		}
		if w.flood == "" && w.submitted == 0 && w.usual < negligible {
			delete(s.shares, key)
			continue
		}
		w.jobs, w.submitted, w.short = 0, 0, 0
	}
}

func compare(a, b event.Event) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
}
