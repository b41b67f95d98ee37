package admit

import "time"

type share struct {
	name   string
	weight int64
	tasks  int64 // admitted and not ended
	bytes  int64
	active bool // holds tasks, or has work waiting at agents by the last report
}

type team struct {
	share
	kinds      map[string]*kind
	weights    weightSums
	quota      Quota
	coveredAt  time.Time // when the quota covers all admitted starts
	running    int64     // tasks sent that have not ended
	configured bool      // weight or quota was set
}

type kind struct {
	share
	team       *team
	configured bool
	admitted   workByPatience // host-seconds of jobs that have not ended
	unsent     float64        // host-seconds admitted but not sent
	sent       float64        // host-seconds sent since the last report
	waiting    float64        // host-seconds waiting at agents, as reported
	rate       float64        // host-seconds per second that agents serve, as reported
	expires    time.Time      // when the report becomes invalid
	lastRetry  time.Time      // the latest retry time given to a refused caller
	lastUse    time.Time
}

// weightSums holds the sums of the weights of a parent's shares.
type weightSums struct {
	total  int64
	active int64
}

func (s *share) fraction(w weightSums) float64 {
	return float64(s.weight) / float64(w.total)
}

// activeFraction returns the share's fraction of the active weights, counting the share itself as active.
func (s *share) activeFraction(w weightSums) float64 {
	active := w.active
	if !s.active {
		active += s.weight
	}
	return float64(s.weight) / float64(active)
}

func (s *share) setActive(w *weightSums, active bool) {
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

func (s *share) setWeight(w *weightSums, weight int64) {
	change := weight - s.weight
	s.weight = weight
	w.total += change
	if s.active {
		w.active += change
	}
}
