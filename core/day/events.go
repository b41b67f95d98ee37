package day

import (
	"slices"
	"time"

	"persimmonstage/core/digest"
	"persimmonstage/core/event"
)

const (
	// maxHarmful and maxNotices bound the events of a day, maxMoments those shown on the page. Harmful events and notices have
	// separate bounds, since a day has tens of thousands of configuration changes at the size that the system is designed for.
	maxHarmful = 16_384
	maxNotices = 1024
	maxMoments = 200
	// sameEventWindow is how far apart entries may observe the same event.
	sameEventWindow = 2 * time.Minute
)

// events holds the events per incarnation that reported them; a span is reported again with a later end until it is over.
type events struct {
	reported map[reportKey]event.Event
	notices  int // number of reported events that aren't harmful
	lost     int64
}

type reportKey struct {
	incarnation string
	at          time.Time
	name        event.Event
}

func (es *events) add(incarnation string, e event.Event) {
	if es.reported == nil {
		es.reported = make(map[reportKey]event.Event)
	}
	key := reportKey{incarnation, e.At.UTC(), event.Event{Cause: e.Cause, Team: e.Team, Kind: e.Kind, Subject: e.Subject}}
	known, again := es.reported[key]
	if again {
		es.reported[key] = laterReport(known, e)
		return
	}
	if !es.hasRoom(e) {
		es.lost++
		return
	}
	es.reported[key] = e
	if !e.Cause.Harmful() {
		es.notices++
	}
}

func (es *events) hasRoom(e event.Event) bool {
	if e.Cause.Harmful() {
		return len(es.reported)-es.notices < maxHarmful
	}
	return es.notices < maxNotices
}

// laterReport returns the report of a span with the later end; of two with the same end, the one that is closed.
func laterReport(a, b event.Event) event.Event {
	if b.Until.After(a.Until) || (b.Until.Equal(a.Until) && a.Open) {
		return b
	}
	return a
}

// merged returns the events sorted by time, with those that several entries observed merged into one.
func (es *events) merged() []event.Event {
	all := make([]event.Event, 0, len(es.reported))
	for _, e := range es.reported {
		all = append(all, e)
	}
	slices.SortFunc(all, compareEvents)
	last := make(map[event.Event]int)
	var result []event.Event
	for _, e := range all {
		name := event.Event{Cause: e.Cause, Team: e.Team, Kind: e.Kind, Subject: e.Subject}
		i, ok := last[name]
		if ok && e.At.Sub(result[i].End()) <= sameEventWindow {
			result[i] = mergeEvents(result[i], e)
			continue
		}
		last[name] = len(result)
		result = append(result, e)
	}
	return result
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

func mergeEvents(a, b event.Event) event.Event {
	if b.IsSpan() && b.End().After(a.End()) {
		a.Until, a.Open = b.Until, b.Open
	}
	return a
}

// addMoments adds the events to the digest, up to maxMoments and harmful ones first.
func (d *Day) addMoments(g *digest.Digest, spans []event.Event) {
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
