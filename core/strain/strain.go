package strain

import "time"

const (
	// highDelay is the queueing delay above which an entry is overloaded: most of the fixed part of a usual response-time objective, and a
	// tenth of the delay from which on agents refuse its orders.
	highDelay = 50 * time.Millisecond
	// severeDelay is the delay above which all new jobs are refused instead of every other one: agents refuse orders after 500 ms.
	severeDelay = 200 * time.Millisecond
	// lowDelay is the delay below which an overload has ended.
	lowDelay = 10 * time.Millisecond
	// window is the time over which the least delay counts: a queue that is empty once within it is a burst, not an overload.
	window = 100 * time.Millisecond
	// minSamples is the least number of events by which a window is judged: a single one may have been late by itself.
	minSamples = 3
	// staleAfter is the time without events after which earlier windows don't count.
	staleAfter = time.Second
	// reliefShare is the recent share of windows with an overload from which on callers are moved, and shareWeight the weight of one window.
	reliefShare = 0.25
	shareWeight = 0.1
	// noticeTime is how long an entry isn't ready until the balancer has noticed; connections that are closed before come back.
	noticeTime = 2200 * time.Millisecond
	// moveTime is how long connections are then closed, and restTime the least time until callers are moved again.
	moveTime = 600 * time.Millisecond
	restTime = 12 * time.Second
	// closeEvery is the number of answers of which one closes its connection while callers are moved.
	closeEvery = 4
)

// Strain judges the queueing delay of an entry's process; the zero value is an idle entry.
type Strain struct {
	windowEnd  time.Time
	least      time.Duration // in the present window
	samples    int           // in the present window
	probe      time.Duration // the least delay of a probe in the present window
	probed     bool          // the present window has a probe
	overloaded bool
	delay      time.Duration // the least of the last window
	share      float64       // recent share of windows with an overload
	refused    int
	reliefFrom time.Time // since when the entry hasn't been ready, or was last
	answers    int
}

// Observe records the time that an event waited in the process before it was handled at now.
func (s *Strain) Observe(now time.Time, delay time.Duration) {
	if now.After(s.windowEnd) {
		s.closeWindow(now)
	}
	if s.samples == 0 || delay < s.least {
		s.least = delay
	}
	s.samples++
}

// Probe is Observe for an event that the process has sent itself; it counts only in a window with few others, as it waits in one of the
// queues only.
func (s *Strain) Probe(now time.Time, delay time.Duration) {
	if now.After(s.windowEnd) {
		s.closeWindow(now)
	}
	if !s.probed || delay < s.probe {
		s.probe, s.probed = delay, true
	}
}

// closeWindow judges the window that has ended. One with too few events says nothing.
func (s *Strain) closeWindow(now time.Time) {
	if s.samples < minSamples && s.probed {
		s.least, s.samples = s.probe, minSamples
	}
	if now.Sub(s.windowEnd) > staleAfter {
		s.share = 0
	}
	judged := s.samples >= minSamples
	if judged {
		s.delay = s.least
		switch {
		case s.least > highDelay:
			s.overloaded = true
		case s.least < lowDelay:
			s.overloaded = false
		}
		overloaded := 1.0
		if !s.overloaded {
			overloaded = 0
		}
		s.share += shareWeight * (overloaded - s.share)
	}
	if judged && s.overloaded && s.share >= reliefShare && (s.reliefFrom.IsZero() || now.Sub(s.reliefFrom) > noticeTime+moveTime+restTime) {
		s.reliefFrom = now
	}
	s.windowEnd, s.samples, s.probed = now.Add(window), 0, false
}

// Overloaded reports whether new jobs are refused.
func (s *Strain) Overloaded() bool { return s.overloaded }

// Refuses reports whether the new job that has come should be refused at once: every other one, and all while the delay is severe.
func (s *Strain) Refuses() bool {
	if !s.overloaded {
		return false
	}
	s.refused++
	return s.delay > severeDelay || s.refused%2 == 0
}

// Relieving reports whether the balancer should use other entries for new connections.
func (s *Strain) Relieving(now time.Time) bool {
	return !s.reliefFrom.IsZero() && now.Sub(s.reliefFrom) < noticeTime+moveTime
}

// Moves reports whether the connection of the answer that is being sent should be closed, so that its caller connects to another entry.
func (s *Strain) Moves(now time.Time) bool {
	if !s.Relieving(now) || now.Sub(s.reliefFrom) < noticeTime {
		return false
	}
	s.answers++
	return s.answers%closeEvery == 0
}
