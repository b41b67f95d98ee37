package eject

import (
	"time"

	"persimmonstage/core/target"
)

const (
	firstProbe   = time.Second     // after the first ejection; doubles with each further one
	maxDoublings = 8               // so that the longest time to a probe is 256 s
	probeTimeout = 2 * time.Second // after which an unanswered probe is sent again
	forgiveAfter = 10              // times to the probe without an ejection that forgive the strikes
	hangFactor   = 4               // times the expected end without any end
	hangSlack    = time.Second / 2 // on top of it
	flapWindow   = time.Minute     // restarts further apart than this aren't flapping
	flapRestarts = 3               // incarnations within a window
)

// flap counts the incarnations of one name.
type flap struct {
	count   int
	strikes int
	until   time.Time
}

// Announced takes the announcement of a target by name; one that restarts again and again is ejected until a probe.
func (j *Detector) Announced(id target.ID, name string, now time.Time) {
	if j.row(id) != nil {
		return
	}
	r := j.take(id, now)
	if r == nil {
		return
	}
	f := j.flaps[name]
	f.count++
	f.until = now.Add(flapWindow)
	r.strikes = f.strikes
	r.forgiven = f.until
	if f.count >= flapRestarts {
		j.eject(id, r, reasonFlapping, now)
		f.strikes = r.strikes
	}
	j.flaps[name] = f
}

// Tick ends pauses, ejects targets that hang and calls probe for each ejected target whose time has come: the entry asks the
// agent to start its health check, which runs nothing of a caller's, and answers by Probed.
func (j *Detector) Tick(now time.Time, probe func(target.ID)) {
	for i := range j.rows {
		r := &j.rows[i]
		if r.generation == 0 || r.gone {
			continue
		}
		j.tick(target.New(uint32(i), r.generation), r, now, probe)
	}
	for name, f := range j.flaps {
		if !now.Before(f.until) {
			delete(j.flaps, name)
		}
	}
}

func (j *Detector) tick(id target.ID, r *row, now time.Time, probe func(target.ID)) {
	switch r.state {
	case ejected:
		if !now.Before(r.until) {
			r.until = now.Add(probeTimeout)
			probe(id)
		}
		return
	case paused:
		if !now.Before(r.until) {
			j.resume(id, r)
		}
	}
	switch {
	case r.inFlight > 0 && r.overdue(now):
		j.eject(id, r, reasonHanging, now)
	case r.failing >= sickEvidence:
		j.eject(id, r, reasonFailing, now)
	}
}

// overdue reports whether nothing has ended for far longer than the longest task in flight should take.
func (r *row) overdue(now time.Time) bool {
	return now.Sub(r.progress) > hangFactor*r.longest+hangSlack
}

// Probed takes the answer of a probe: a target found well comes back, on trial.
func (j *Detector) Probed(id target.ID, ok bool, now time.Time) {
	r := j.row(id)
	if r == nil || r.state != ejected {
		return
	}
	if !ok {
		j.strike(r, now)
		return
	}
	r.failing = trialEvidence
	r.streak = 0
	r.progress = now
	j.resume(id, r)
	j.limit(id, r, true)
	j.watch.Returned(now, id)
}

// eject takes a target out until a probe, unless too many are out already.
func (j *Detector) eject(id target.ID, r *row, reason string, now time.Time) {
	if r.state == ejected || !r.state.out() && !j.mayLose() {
		return
	}
	if !r.forgiven.IsZero() && !now.Before(r.forgiven) {
		r.strikes = 0
	}
	j.close(id, r, ejected, reason)
	r.spell++
	r.unsettled = 0
	j.strike(r, now)
	j.watch.Ejected(now, id, causes[reason])
}

// strike sets the time of the next probe, twice as far as the last.
func (j *Detector) strike(r *row, now time.Time) {
	wait := firstProbe << min(r.strikes, maxDoublings)
	r.strikes++
	r.until = now.Add(wait)
	r.forgiven = r.until.Add(forgiveAfter * wait)
}
