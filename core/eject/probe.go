package eject

import (
	"time"

	"persimmonstage/core/target"
)

const (
	firstProbe         = time.Second     // time to the probe after the first ejection; doubles with each further one
	maxDoublings       = 8               // limits the time to a probe to 256 s
	probeTimeout       = 2 * time.Second // an unanswered probe is sent again after this
	backoffResetFactor = 10              // time without an ejection that resets the backoff, in times to the probe
	hangFactor         = 4               // expected times of the longest task in flight without any end that count as a hang
	hangSlack          = time.Second / 2 // added to it
	flapWindow         = time.Minute     // restarts further apart than this don't count as flapping
	flapRestarts       = 3               // incarnations within the window that count as flapping
)

// flap counts the recent incarnations of a target name.
type flap struct {
	count    int
	backoffs int
	until    time.Time
}

// Announced records the announcement of a target; one that keeps restarting is ejected until a probe succeeds.
func (d *Detector) Announced(id target.ID, name string, now time.Time) {
	if d.row(id) != nil {
		return
	}
	r := d.rowFor(id, now)
	if r == nil {
		return
	}
	f := d.flaps[name]
	f.count++
	f.until = now.Add(flapWindow)
	r.backoffs = f.backoffs
	r.backoffReset = f.until
	if f.count >= flapRestarts {
		d.eject(id, r, reasonFlapping, now)
		f.backoffs = r.backoffs
	}
	d.flaps[name] = f
}

// Tick ends pauses, ejects targets that hang and calls probe for each ejected target that is due: the entry requests the
// agent's health check, which runs no caller's task, and passes its result to Probed.
func (d *Detector) Tick(now time.Time, probe func(target.ID)) {
	for i := range d.rows {
		r := &d.rows[i]
		if r.generation == 0 || r.gone {
			continue
		}
		d.tick(target.New(uint32(i), r.generation), r, now, probe)
	}
	for name, f := range d.flaps {
		if !now.Before(f.until) {
			delete(d.flaps, name)
		}
	}
}

func (d *Detector) tick(id target.ID, r *row, now time.Time, probe func(target.ID)) {
	switch r.state {
	case ejected:
		if !now.Before(r.until) {
			r.until = now.Add(probeTimeout)
			probe(id)
		}
		return
	case paused:
		if !now.Before(r.until) {
			d.resume(id, r)
		}
	}
	switch {
	case r.inFlight > 0 && r.overdue(now):
		d.eject(id, r, reasonHanging, now)
	case r.evidence >= ejectEvidence:
		d.eject(id, r, reasonFailing, now)
	}
}

// overdue reports whether no task has ended for much longer than the longest task in flight should take.
func (r *row) overdue(now time.Time) bool {
	return now.Sub(r.lastProgress) > hangFactor*r.longest+hangSlack
}

// Probed records the result of a probe: a healthy target returns on trial.
func (d *Detector) Probed(id target.ID, ok bool, now time.Time) {
	r := d.row(id)
	if r == nil || r.state != ejected {
		return
	}
	if !ok {
		d.scheduleProbe(r, now)
		return
	}
	r.evidence = trialEvidence
	r.streak = 0
	r.lastProgress = now
	d.resume(id, r)
	d.setTrial(id, r, true)
	d.watch.Returned(now, id)
}

// eject takes a target out until a probe succeeds, unless too many are out already.
func (d *Detector) eject(id target.ID, r *row, reason string, now time.Time) {
	if r.state == ejected || !r.state.out() && !d.mayTakeOut() {
		return
	}
	if !r.backoffReset.IsZero() && !now.Before(r.backoffReset) {
		r.backoffs = 0
	}
	d.takeOut(id, r, ejected, reason)
	r.ejections++
	r.unconfirmed = 0
	d.scheduleProbe(r, now)
	d.watch.Ejected(now, id, causes[reason])
}

// scheduleProbe sets the time of the next probe; the wait doubles with each call, up to a limit.
func (d *Detector) scheduleProbe(r *row, now time.Time) {
	wait := firstProbe << min(r.backoffs, maxDoublings)
	r.backoffs++
	r.until = now.Add(wait)
	r.backoffReset = r.until.Add(backoffResetFactor * wait)
}
