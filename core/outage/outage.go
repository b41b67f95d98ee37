package outage

import (
	"slices"
	"time"
)

const (
	// lossWindow is the time within which the targets of a data centre are lost when it is cut off: some are noticed at once
	// by a closed connection, the others by missing heartbeats.
	lossWindow = 10 * time.Second
	// settleTime is how long a data centre has no targets, while others have some, before it counts as cut off. After a
	// pause of the entry itself, one data centre reconnects before the others.
	settleTime = 3 * time.Second
	// minLost is the number of lost targets from which the loss is attributed to the data centre.
	minLost = 2
)

// Monitor tracks which data centres one entry can reach; the zero value is ready. It is not safe for concurrent use.
type Monitor struct {
	home           string
	centres        map[string]*centre
	reachableSince time.Time // start of the time in which some data centre has been reachable without interruption
	cuts           []Cut
}

// Cut is a data centre that can't be reached, with the time when the first of its targets was lost.
type Cut struct {
	centre string
	at     time.Time
}

// Centre returns the data centre's name.
func (c Cut) Centre() string { return c.centre }

// At returns when the first of its targets was lost.
func (c Cut) At() time.Time { return c.at }

type centre struct {
	present map[string]bool
	lost    map[string]time.Time
}

// SetHome sets the data centre of the entry: when all others become unreachable together, this one is cut off from them.
func (m *Monitor) SetHome(name string) { m.home = name }

// Unreachable returns the data centres that are cut off now.
func (m *Monitor) Unreachable() []string {
	var names []string
	for _, c := range m.cuts {
		names = append(names, c.centre)
	}
	return names
}

// Seen records that a target of a data centre is connected.
func (m *Monitor) Seen(name, target string) {
	c := m.centres[name]
	if c == nil {
		if m.centres == nil {
			m.centres = make(map[string]*centre)
		}
		c = &centre{present: make(map[string]bool), lost: make(map[string]time.Time)}
		m.centres[name] = c
	}
	c.present[target] = true
	delete(c.lost, target)
}

// Lost records that a target's heartbeats stopped, or that its connection ended unannounced.
func (m *Monitor) Lost(now time.Time, name, target string) {
	if c := m.centres[name]; c != nil && c.present[target] {
		delete(c.present, target)
		c.lost[target] = now
	}
}

// Left records that a target announced that it is leaving.
func (m *Monitor) Left(name, target string) {
	if c := m.centres[name]; c != nil {
		delete(c.present, target)
		delete(c.lost, target)
	}
}

// Step returns the cuts that began and ended; call it every second.
func (m *Monitor) Step(now time.Time) (begun, ended []Cut) {
	found := m.findCuts(now)
	for _, f := range found {
		if !m.isCut(f.centre) {
			begun = append(begun, f)
		}
	}
	var open []Cut
	for _, c := range m.cuts {
		if m.hasEnded(c.centre) {
			ended = append(ended, c)
		} else {
			open = append(open, c)
		}
	}
	m.cuts = append(open, begun...)
	return begun, ended
}

func (m *Monitor) isCut(name string) bool {
	return slices.ContainsFunc(m.cuts, func(c Cut) bool { return c.centre == name })
}

// hasEnded reports whether a cut has ended: the data centre has a target again, or any other has one if it is the entry's own.
func (m *Monitor) hasEnded(name string) bool {
	if name != m.home {
		return len(m.centres[name].present) > 0
	}
	for other, c := range m.centres {
		if other != m.home && len(c.present) > 0 {
			return true
		}
	}
	return false
}

// findCuts returns the data centres whose targets were all lost together while others are reachable.
func (m *Monitor) findCuts(now time.Time) []Cut {
	if !m.settled(now) {
		return nil
	}
	var unreachable []Cut
	for name, c := range m.centres {
		if at, ok := c.allLost(now); ok {
			unreachable = append(unreachable, Cut{centre: name, at: at})
		}
	}
	slices.SortFunc(unreachable, func(a, b Cut) int { return a.at.Compare(b.at) })
	if len(unreachable) > 1 && len(unreachable) == len(m.centres)-1 && m.reachable(m.home) {
		return []Cut{{centre: m.home, at: unreachable[0].at}}
	}
	if m.isCut(m.home) {
		return nil
	}
	return unreachable
}

// settled reports whether some data centre has been reachable for long enough to conclude that others are cut off.
func (m *Monitor) settled(now time.Time) bool {
	for name := range m.centres {
		if m.reachable(name) {
			if m.reachableSince.IsZero() {
				m.reachableSince = now
			}
			return now.Sub(m.reachableSince) >= settleTime
		}
	}
	m.reachableSince = time.Time{}
	return false
}

func (m *Monitor) reachable(name string) bool {
	c := m.centres[name]
	return c != nil && len(c.present) > 0
}

// allLost returns when the first of the targets lost together was lost, and whether the data centre counts as cut off. It
// deletes targets lost long before.
func (c *centre) allLost(now time.Time) (at time.Time, ok bool) {
	var last time.Time
	for _, t := range c.lost {
		if t.After(last) {
			last = t
		}
	}
	for target, t := range c.lost {
		if last.Sub(t) > lossWindow || now.Sub(last) > lossWindow+settleTime {
			delete(c.lost, target)
		}
	}
	for _, t := range c.lost {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at, len(c.present) == 0 && len(c.lost) >= minLost && now.Sub(last) >= settleTime
}
