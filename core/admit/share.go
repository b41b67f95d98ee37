package admit

import "time"

type share struct {
	name   string
	weight int64
	tasks  int64 // admitted and not ended
	bytes  int64
	active bool // holds tasks, or waits at agents by the last report
}

type team struct {
	share
	kinds   map[string]*kind
	weights weights
	quota   Quota
	paid    time.Time // when all admitted starts are covered by the quota
	running int64     // tasks sent and not ended
	kept    bool      // named by a setting
}

type kind struct {
	share
	team    *team
	kept    bool
	held    classed   // host-seconds of jobs that have not ended
	unsent  float64   // host-seconds admitted and not yet sent
	sent    float64   // host-seconds sent since the last report
	waiting float64   // host-seconds that wait at agents, as reported
	rate    float64   // host-seconds a second that agents serve, as reported
	expires time.Time // when the report counts no more
	retry   time.Time // the last time that was given to a refused caller
	seen    time.Time
}

// weights sums the weights of a parent's shares.
type weights struct {
	known  int64
	active int64
}

func (s *share) part(w weights) float64 {
	return float64(s.weight) / float64(w.known)
}

// activePart returns the part that the share gets when it is busy beside those that are busy now.
func (s *share) activePart(w weights) float64 {
	active := w.active
	if !s.active {
		active += s.weight
	}
	return float64(s.weight) / float64(active)
}

func (s *share) mark(w *weights, active bool) {
	if s.active == active {
		return
	}
	s.active = active
	if active {
		w.active += s.weight
		return
	}
	w.active -= s.weight
}

func (s *share) reweigh(w *weights, weight int64) {
	change := weight - s.weight
	s.weight = weight
	w.known += change
	if s.active {
		w.active += change
	}
}
