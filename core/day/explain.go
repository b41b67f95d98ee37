package day

import (
	"strconv"
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/event"
	"persimmonstage/core/series"
)

// maxEffectDelay is how long after an event harm is still attributed to it.
const maxEffectDelay = 2 * time.Minute

var floods = []cause.Cause{cause.FloodMostUrgent, cause.FloodLeastUrgent, cause.Flood}

// capacityLoss lists the causes that reduce capacity, the likeliest explanation of waiting first.
var capacityLoss = append(floods[:len(floods):len(floods)],
	cause.RegionCut, cause.TargetFails, cause.TargetLost, cause.TargetSlow, cause.EntryLost, cause.EntryPaused,
	cause.LogDown, cause.LogSlow)

// rootCauses maps the cause recorded for a job to the causes of events that explain it if they happened at that time, the
// likeliest first. The recorded cause is what the entry observed; the owner wants to know what led to it.
var rootCauses = map[cause.Cause][]cause.Cause{
	"":                   capacityLoss,
	cause.DeadlinePassed: capacityLoss,
	cause.Overload:       capacityLoss,
	cause.RetriesSpent:   capacityLoss,
	cause.Straggler:      {cause.TargetSlow},
	cause.TaskFailed:     {cause.KindFails, cause.TargetFails, cause.TargetSlow},
	cause.NoTargets:      {cause.RegionCut, cause.TargetFails, cause.TargetLost, cause.LogDown, cause.Drained},
	cause.AnswerLost:     {cause.EntryLost, cause.EntryPaused, cause.RegionCut, cause.TargetLost, cause.LogDown},
	cause.TargetLost:     {cause.RegionCut},
	cause.EntryLost:      {cause.LogDown},
}

// explain returns the cause of harm to work in from..to and the sentence that describes it.
func explain(h series.Harm, work workKey, from, to time.Time, spans []event.Event) (cause.Cause, string) {
	around := overlapping(spans, from.Add(-maxEffectDelay), to)
	for _, c := range rootCauses[h.Cause] {
		if subject, n := affected(c, work, around); n > 0 {
			return c, c.Sentence(subject)
		}
	}
	if h.Cause == "" {
		return unexplained(h)
	}
	subject, _ := affected(h.Cause, work, around)
	if subject == "" && namesWork(h.Cause) {
		subject = event.Event{Team: work.team, Kind: work.kind}.Affected()
	}
	return h.Cause, h.Cause.Sentence(subject)
}

// unexplained returns the cause and sentence of harm for which neither the entry nor the events give a cause.
func unexplained(h series.Harm) (cause.Cause, string) {
	if h.Late {
		return cause.DeadlinePassed, cause.DeadlinePassed.Sentence("")
	}
	return cause.Other, "No cause was recorded."
}

// namesWork reports whether the sentence of c should name the work.
func namesWork(c cause.Cause) bool {
	return c == cause.CancelWave || c == cause.KindFails ||
		c == cause.Flood || c == cause.FloodMostUrgent || c == cause.FloodLeastUrgent
}

// affected returns what the events of cause c affected, preferring those of the work itself, and their number.
func affected(c cause.Cause, work workKey, around []event.Event) (subject string, n int) {
	foundOwn := false
	for _, e := range around {
		if e.Cause != c {
			continue
		}
		sameWork := e.Team == work.team && e.Kind == work.kind
		if n == 0 || (sameWork && !foundOwn) {
			subject = e.Affected()
		}
		foundOwn = foundOwn || sameWork
		n++
	}
	if n > 1 && !foundOwn {
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
