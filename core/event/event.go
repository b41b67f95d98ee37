package event

import (
	"time"

	"persimmonstage/core/cause"
)

// Event is something that happened to the system, at a time or over a span.
// A span is told again by each record while it lasts, so that the death of the teller ends it.
type Event struct {
	// At is when it happened or began.
	At time.Time `json:"at"`
	// Until is the end of a span, or its latest sure time while Open; zero for a point in time.
	Until time.Time `json:"until,omitzero"`
	// Open says that the span still lasted at Until.
	Open bool `json:"open,omitempty"`
	// Cause names what happened.
	Cause cause.Cause `json:"cause"`
	// Team and Kind name the work, where one kind of work is meant.
	Team string `json:"team,omitempty"`
	Kind string `json:"kind,omitempty"`
	// Subject names the target, host, entry, data centre or version.
	Subject string `json:"subject,omitempty"`
}

// Same reports whether e and o speak of the same thing, whenever they happened.
func (e Event) Same(o Event) bool {
	return e.Cause == o.Cause && e.Team == o.Team && e.Kind == o.Kind && e.Subject == o.Subject
}

// IsSpan reports whether e lasted for some time.
func (e Event) IsSpan() bool { return !e.Until.IsZero() }

// End returns when e ended or was last seen; a point in time ends where it began.
func (e Event) End() time.Time {
	if e.Until.Before(e.At) {
		return e.At
	}
	return e.Until
}

// Overlaps reports whether e happened at some time in [from, to).
func (e Event) Overlaps(from, to time.Time) bool {
	return e.At.Before(to) && !e.End().Before(from)
}

// Affected names what the event befell, for a sentence: the subject, or the kind and team.
func (e Event) Affected() string {
	work := e.Kind
	if e.Team != "" && work != "" {
		work += " from " + e.Team
	} else if e.Team != "" {
		work = e.Team
	}
	if e.Subject == "" {
		return work
	}
	if work == "" {
		return e.Subject
	}
	return work + ", " + e.Subject
}

// Sentence names the event to an owner in plain words.
func (e Event) Sentence() string { return e.Cause.Sentence(e.Affected()) }
