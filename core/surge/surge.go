package surge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
)

const (
	// window is the time over which work is counted before it is judged.
	window = 10 * time.Second
	// memory is how many windows the usual rate looks back.
	memory = 60
	// learn is how many windows must have passed before anything is called a flood.
	learn = 12
	// leastLacked and lackedShare are the tasks without room in a window, and their part of all, from which room is short.
	leastLacked = 20
	lackedShare = 20
	// above is how many times its usual rate work must ask for to begin a flood, and partOfAll its least part of all work.
	above     = 3
	partOfAll = 10
	// calm is how many windows in a row without shortage, or with less than half as much again as usual, end a flood.
	calm = 3
	// maxWorks bounds the pairs of team and kind that are watched.
	maxWorks = 1024
)

// A flood needs both signs: room is short, and this work asks for far more than it usually does. Shortage alone can
// come from lost targets, and a high rate alone harms nobody.

// Detector watches the work of one entry; the zero value is ready. It is not safe for concurrent use.
type Detector struct {
	end     time.Time // of the window in progress
	windows int
	works   map[name]*work
}

type name struct{ team, kind string }

type work struct {
	urgency int
	jobs    int64
	asked   int64   // tasks of jobs
	lacked  int64   // jobs
	usual   float64 // tasks a window
	calm    int
	flood   cause.Cause // empty while it doesn't flood
}

// AddJob counts a job of that many tasks that a caller asked for; a higher urgency goes first.
func (s *Detector) AddJob(team, kind string, urgency, tasks int) {
	if w := s.work(team, kind); w != nil {
		w.urgency = urgency
		w.jobs++
		w.asked += int64(tasks)
	}
}

// AddShortage counts a job, asked for before, that was refused or came late for want of room.
func (s *Detector) AddShortage(team, kind string) {
	if w := s.work(team, kind); w != nil {
		w.lacked++
	}
}

// Step judges the window that has passed, if any, and returns the floods that began and ended; call it every second.
func (s *Detector) Step(now time.Time) (begun, ended []event.Event) {
	if s.end.IsZero() {
		s.end = now.Add(window)
	}
	if now.Before(s.end) {
		return nil, nil
	}
	// After a pause the counts of one window are all there is.
	s.end = now.Add(window)
	s.windows++
	short, all := s.shortage()
	for key, w := range s.works {
		e := event.Event{Team: key.team, Kind: key.kind}
		switch {
		case w.flood == "" && s.floods(w, short, all):
			w.flood, w.calm = s.class(w), 0
			e.Cause = w.flood
			begun = append(begun, e)
		case w.flood != "" && w.over(short):
			e.Cause = w.flood
			w.flood = ""
			ended = append(ended, e)
		}
	}
	s.forget()
	slices.SortFunc(begun, compare)
	slices.SortFunc(ended, compare)
	return begun, ended
}

func (s *Detector) work(team, kind string) *work {
	key := name{team, kind}
	w, ok := s.works[key]
	if ok {
		return w
	}
	if len(s.works) >= maxWorks {
		return nil
	}
	if s.works == nil {
		s.works = make(map[name]*work)
	}
	w = &work{}
	// The names may point into a buffer of the request.
	s.works[name{strings.Clone(team), strings.Clone(kind)}] = w
	return w
}

// shortage reports whether room was short in the window, and how many tasks were asked for in all.
func (s *Detector) shortage() (short bool, all int64) {
	var lacked int64
	for _, w := range s.works {
		all += w.asked
		// A refusal comes without the job's size; its like is the mean of those asked for.
		lacked += w.lacked * max(w.asked, 1) / max(w.jobs, 1)
	}
	return lacked >= leastLacked && lacked*lackedShare >= all, all
}

func (s *Detector) floods(w *work, short bool, all int64) bool {
	return short && s.windows > learn && float64(w.asked) >= above*max(w.usual, 1) && w.asked*partOfAll >= all
}

// over counts calm windows and reports whether a flood has ended.
func (w *work) over(short bool) bool {
	const half = 1.5
	if short && float64(w.asked) >= half*max(w.usual, 1) {
		w.calm = 0
		return false
	}
	w.calm++
	return w.calm >= calm
}

// class compares the urgency of a flood with that of the other work asked for in the window.
func (s *Detector) class(flood *work) cause.Cause {
	above, below := false, false
	for _, w := range s.works {
		if w == flood || w.asked == 0 {
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

// forget learns the usual rates and begins the next window; a flood teaches nothing, and work long gone is dropped.
func (s *Detector) forget() {
	const gone = 0.01
	weight := 1 / float64(min(s.windows, memory))
	for key, w := range s.works {
		if w.flood == "" {
			w.usual += (float64(w.asked) - w.usual) * weight
		}
		if w.flood == "" && w.asked == 0 && w.usual < gone {
			delete(s.works, key)
			continue
		}
		w.jobs, w.asked, w.lacked = 0, 0, 0
	}
}

func compare(a, b event.Event) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind))
}
