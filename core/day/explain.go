package day

import (
	"strconv"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/series"
)

// aftermath is how long after an event its effects are still put down to it.
const aftermath = 2 * time.Minute

var floods = []cause.Cause{cause.FloodMostUrgent, cause.FloodLeastUrgent, cause.Flood}

// short lists what takes capacity away, the likeliest explanation of waiting first.
var short = append(floods[:len(floods):len(floods)],
	cause.RegionCut, cause.TargetFails, cause.TargetLost, cause.TargetSlow, cause.EntryLost, cause.EntryPaused,
	cause.LogDown, cause.LogSlow)

// deeper lists, for what befell a job, the events that explain it when they happened at that time, the likeliest first.
// The job's own cause says what the entry saw; the owner wants to know why it came to that.
var deeper = map[cause.Cause][]cause.Cause{
	"":                   short,
	cause.DeadlinePassed: short,
	cause.Overload:       short,
	cause.RetriesSpent:   short,
	cause.Straggler:      {cause.TargetSlow},
	cause.TaskFailed:     {cause.KindFails, cause.TargetFails, cause.TargetSlow},
	cause.NoTargets:      {cause.RegionCut, cause.TargetFails, cause.TargetLost, cause.LogDown, cause.Drained},
	cause.AnswerLost:     {cause.EntryLost, cause.EntryPaused, cause.RegionCut, cause.TargetLost, cause.LogDown},
	cause.TargetLost:     {cause.RegionCut},
	cause.EntryLost:      {cause.LogDown},
}

// explain returns the cause of a harm done to work in from..to and the sentence that names it.
func explain(what series.Harm, work workKey, from, to time.Time, spans []event.Event) (cause.Cause, string) {
	around := overlapping(spans, from.Add(-aftermath), to)
	for _, c := range deeper[what.Cause] {
		if subject, n := who(c, work, around); n > 0 {
			return c, c.Sentence(subject)
		}
	}
	if what.Cause == "" {
		return nameless(what)
	}
	subject, _ := who(what.Cause, work, around)
	if subject == "" && needsWork(what.Cause) {
		subject = event.Event{Team: work.team, Kind: work.kind}.Affected()
	}
	return what.Cause, what.Cause.Sentence(subject)
}

// nameless names a harm for which neither the entry nor the events give a cause.
func nameless(what series.Harm) (cause.Cause, string) {
	if what.Late {
		return cause.DeadlinePassed, cause.DeadlinePassed.Sentence("")
	}
	return cause.Other, "No cause was recorded."
}

// needsWork reports whether the sentence of c reads better with the work named.
func needsWork(c cause.Cause) bool {
	return c == cause.CancelWave || c == cause.KindFails ||
		c == cause.Flood || c == cause.FloodMostUrgent || c == cause.FloodLeastUrgent
}

// who names what the events of cause c befell, the work's own first, and counts them.
func who(c cause.Cause, work workKey, around []event.Event) (subject string, n int) {
	own := false
	for _, e := range around {
		if e.Cause != c {
			continue
		}
		mine := e.Team == work.team && e.Kind == work.kind
		if n == 0 || (mine && !own) {
			subject = e.Affected()
		}
		own = own || mine
		n++
	}
	if n > 1 && !own {
		subject += " (and " + strconv.Itoa(n-1) + " more)"
	}
	return subject, n
}

func overlapping(spans []event.Event, from, to time.Time) []event.Event {
	var around []event.Event
	for _, e := range spans {
		if e.Overlaps(from, to) {
			around = append(around, e)
		}
	}
	return around
}
