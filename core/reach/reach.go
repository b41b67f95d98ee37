package reach

import (
	"slices"
	"time"
)

const (
	// together is the time within which the targets of a data centre fall silent when it is cut off: some are noticed by
	// a closed connection at once, the others by their missing heartbeats.
	together = 10 * time.Second
	// settle is how long a data centre stays without a target, beside others that have some, before it counts as cut.
	// An entry that stood still hears from one data centre before the others.
	settle = 3 * time.Second
	// leastLost is the number of targets from which their common silence is put down to the data centre.
	leastLost = 2
)

// Monitor watches which data centres one entry hears from; the zero value is ready. It is not safe for concurrent use.
type Monitor struct {
	home    string
	centres map[string]*centre
	since   time.Time // some other data centre has been heard from without a break
	cut     []Cut
}

// Cut is a data centre that can't be reached, and when the first of its targets fell silent.
type Cut struct {
	centre string
	at     time.Time
}

// Centre returns the data centre's name.
func (c Cut) Centre() string { return c.centre }

// At returns when the first of its targets fell silent.
func (c Cut) At() time.Time { return c.at }

type centre struct {
	here map[string]bool
	lost map[string]time.Time
}

// SetHome sets the data centre of the entry: when all others are silent at once, this one is cut off from them.
func (r *Monitor) SetHome(name string) { r.home = name }

// Unreachable returns the data centres that can't be reached now.
func (r *Monitor) Unreachable() []string {
	var names []string
	for _, c := range r.cut {
		names = append(names, c.centre)
	}
	return names
}

// Seen notes that a target of a data centre is there.
func (r *Monitor) Seen(name, target string) {
	c := r.centres[name]
	if c == nil {
		if r.centres == nil {
			r.centres = make(map[string]*centre)
		}
		c = &centre{here: make(map[string]bool), lost: make(map[string]time.Time)}
		r.centres[name] = c
	}
	c.here[target] = true
	delete(c.lost, target)
}

// Lost notes that a target fell silent, or that its connection ended without a word.
func (r *Monitor) Lost(now time.Time, name, target string) {
	if c := r.centres[name]; c != nil && c.here[target] {
		delete(c.here, target)
		c.lost[target] = now
	}
}

// Left notes that a target said that it leaves.
func (r *Monitor) Left(name, target string) {
	if c := r.centres[name]; c != nil {
		delete(c.here, target)
		delete(c.lost, target)
	}
}

// Step returns the cuts that began and ended; call it every second.
func (r *Monitor) Step(now time.Time) (begun, ended []Cut) {
	found := r.find(now)
	for _, f := range found {
		if !r.has(f.centre) {
			begun = append(begun, f)
		}
	}
	var open []Cut
	for _, c := range r.cut {
		if r.over(c.centre) {
			ended = append(ended, c)
		} else {
			open = append(open, c)
		}
	}
	r.cut = append(open, begun...)
	return begun, ended
}

func (r *Monitor) has(name string) bool {
	return slices.ContainsFunc(r.cut, func(c Cut) bool { return c.centre == name })
}

// over reports whether a cut has ended: something of the data centre is heard again, or of any other when it is the own.
func (r *Monitor) over(name string) bool {
	if name != r.home {
		return len(r.centres[name].here) > 0
	}
	for other, c := range r.centres {
		if other != r.home && len(c.here) > 0 {
			return true
		}
	}
	return false
}

// find returns the data centres whose targets all fell silent together while others are heard.
func (r *Monitor) find(now time.Time) []Cut {
	if !r.settled(now) {
		return nil
	}
	var silent []Cut
	for name, c := range r.centres {
		if at, ok := c.silent(now); ok {
			silent = append(silent, Cut{centre: name, at: at})
		}
	}
	slices.SortFunc(silent, func(a, b Cut) int { return a.at.Compare(b.at) })
	if len(silent) > 1 && len(silent) == len(r.centres)-1 && r.hears(r.home) {
		return []Cut{{centre: r.home, at: silent[0].at}}
	}
	if r.has(r.home) {
		return nil
	}
	return silent
}

// settled reports whether some data centre has been heard from for long enough to judge the others by it.
func (r *Monitor) settled(now time.Time) bool {
	for name := range r.centres {
		if r.hears(name) {
			if r.since.IsZero() {
				r.since = now
			}
			return now.Sub(r.since) >= settle
		}
	}
	r.since = time.Time{}
	return false
}

func (r *Monitor) hears(name string) bool {
	c := r.centres[name]
	return c != nil && len(c.here) > 0
}

// silent returns when the first of the targets that fell silent together did so, and forgets those lost long before.
func (c *centre) silent(now time.Time) (at time.Time, ok bool) {
	var last time.Time
	for _, t := range c.lost {
		if t.After(last) {
			last = t
		}
	}
	for target, t := range c.lost {
		if last.Sub(t) > together || now.Sub(last) > together+settle {
			delete(c.lost, target)
		}
	}
	for _, t := range c.lost {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	return at, len(c.here) == 0 && len(c.lost) >= leastLost && now.Sub(last) >= settle
}
