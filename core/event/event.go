package event

import (
	"time"

	"persimmonstage/core/cause"
)

// Event is something that happened to the system, at a point in time or over a span.
// Each record repeats the spans that are still open, so that a span ends when the entry that reports it dies.
type Event struct {
	// At is when it happened or began.
	At time.Time `json:"at"`
	// Until is the end of a span, or the last time at which it was seen while Open; zero for a point in time.
	Until time.Time `json:"until,omitzero"`
	// Open means that the span was not over at Until.
	Open bool `json:"open,omitempty"`
	// Cause names what happened.
	Cause cause.Cause `json:"cause"`
	// Team and Kind name the work, if the event concerns one kind of work.
	Team string `json:"team,omitempty"`
	Kind string `json:"kind,omitempty"`
	// Subject names the target, host, entry, data centre or version.
	Subject string `json:"subject,omitempty"`
}

// Same reports whether e and o have the same cause and subject, regardless of their times.
func (e Event) Same(o Event) bool {
	return e.Cause == o.Cause && e.Team == o.Team && e.Kind == o.Kind && e.Subject == o.Subject
}

// IsSpan reports whether e is a span rather than a point in time.
func (e Event) IsSpan() bool { return !e.Until.IsZero() }

// End returns when e ended or was last seen; for a point in time, that is At.
func (e Event) End() time.Time {
	if e.Until.Before(e.At) {
		return e.At
	}
	return e.Until
}

// Overlaps reports whether e overlaps [from, to).
func (e Event) Overlaps(from, to time.Time) bool {
	return e.At.Before(to) && !e.End().Before(from)
}

// Affected returns what the event affected, as text for a sentence: the kind and team, the subject, or both.
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

// Sentence describes the event to an owner in plain words.
func (e Event) Sentence() string { return e.Cause.Sentence(e.Affected()) }
