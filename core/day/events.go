package day

import (
	"slices"
	"time"

	"persimmonstage/core/digest"
	"persimmonstage/core/event"
)

const (
	// maxHarmful and maxNotices bound the events of a day, maxMoments those that the owner is shown.
	// They are bounded apart, as a day has tens of thousands of changes of the configuration at the size that is aimed at.
	maxHarmful = 16_384
	maxNotices = 1024
	maxMoments = 200
	// sameTime is how far apart entries may notice the same thing.
	sameTime = 2 * time.Minute
)

// events holds what happened, by who told it; a span is told again with a later end until it is over.
type events struct {
	told    map[toldKey]event.Event
	notices int // of told
	lost    int64
}

type toldKey struct {
	incarnation string
	at          time.Time
	name        event.Event
}

func (es *events) add(incarnation string, e event.Event) {
	if es.told == nil {
		es.told = make(map[toldKey]event.Event)
	}
	key := toldKey{incarnation, e.At.UTC(), event.Event{Cause: e.Cause, Team: e.Team, Kind: e.Kind, Subject: e.Subject}}
	known, again := es.told[key]
	if again {
		es.told[key] = laterTold(known, e)
		return
	}
	if !es.room(e) {
		es.lost++
		return
	}
	es.told[key] = e
	if !e.Cause.Harmful() {
		es.notices++
	}
}

func (es *events) room(e event.Event) bool {
	if e.Cause.Harmful() {
		return len(es.told)-es.notices < maxHarmful
	}
	return es.notices < maxNotices
}

// laterTold returns the account of a span that reaches further; of two that end together, the one that says it is over.
func laterTold(a, b event.Event) event.Event {
	if b.Until.After(a.Until) || (b.Until.Equal(a.Until) && a.Open) {
		return b
	}
	return a
}

// merged returns what happened in the order of time, with what several entries noticed as one.
func (es *events) merged() []event.Event {
	all := make([]event.Event, 0, len(es.told))
	for _, e := range es.told {
		all = append(all, e)
	}
	slices.SortFunc(all, compareEvents)
	last := make(map[event.Event]int)
	var one []event.Event
	for _, e := range all {
		name := event.Event{Cause: e.Cause, Team: e.Team, Kind: e.Kind, Subject: e.Subject}
		i, ok := last[name]
		if ok && e.At.Sub(one[i].End()) <= sameTime {
			one[i] = joined(one[i], e)
			continue
		}
		last[name] = len(one)
		one = append(one, e)
	}
	return one
}

func compareEvents(a, b event.Event) int {
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if a.Sentence() < b.Sentence() {
		return -1
	}
	return 1
}

func joined(a, b event.Event) event.Event {
	if b.IsSpan() && b.End().After(a.End()) {
		a.Until, a.Open = b.Until, b.Open
	}
	return a
}

// moments tells the events, the harmful ones first where there are too many.
func (d *Day) moments(g *digest.Digest, spans []event.Event) {
	g.MomentsMore = d.events.lost
	room := maxMoments
	for _, harmful := range []bool{true, false} {
		for _, e := range spans {
			if e.Cause.Harmful() != harmful {
				continue
			}
			if room == 0 {
				g.MomentsMore++
				continue
			}
			room--
			g.AddMoment(e)
		}
	}
}
