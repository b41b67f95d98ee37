package eject

import (
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/target"
)

const (
	ejectEvidence = 12.0 // evidence at which a target is ejected: about five failures in a row of a kind that rarely fails
	trialEvidence = 9.0  // evidence that a returning target starts with: one such failure ejects it again
	pauseStreak   = 2    // unconfirmed failures in a row that pause a target
	pauseTime     = 500 * time.Millisecond
)

// Reasons why a target is out, as shown in the state and on the page.
const (
	reasonFailing  = "fails what it starts"
	reasonPaused   = "failures in a row"
	reasonHanging  = "starts tasks and ends none"
	reasonFlapping = "restarts again and again"
)

// causes maps the reason of an ejection to the cause shown in the daily report.
var causes = map[string]cause.Cause{
	reasonFailing:  cause.TargetFails,
	reasonHanging:  cause.TargetSlow,
	reasonFlapping: cause.TargetLost,
}

// Ended records the outcome of a task of a kind at a target.
func (d *Detector) Ended(id target.ID, kind string, o Outcome, now time.Time) {
	r := d.row(id)
	if r == nil {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	switch o {
	case Succeeded:
		r.lastProgress = now
		d.succeeded(d.kind(kind), id, r, now)
	case Failed:
		r.lastProgress = now
		d.failed(d.kind(kind), id, r, now)
	}
}

// succeeded records a success, which confirms the failures of the kind at other targets: their targets caused them.
func (d *Detector) succeeded(k *kindRow, id target.ID, r *row, now time.Time) {
	k.updateShare(id, 0)
	k.reduceUnconfirmed(id, r)
	r.streak = 0
	r.evidence = max(0, r.evidence-k.successWeight())
	switch r.state {
	case ejected:
		if r.reason == reasonHanging {
			r.until = now
		}
	case paused:
		d.resume(id, r)
	}
	if r.trial && r.state == healthy {
		d.setTrial(id, r, false)
	}
	if len(k.unconfirmed) == 0 {
		return
	}
	d.takeUnconfirmed(k, id, func(other target.ID, failing *row, weight float64) {
		failing.evidence += weight
		d.reassess(other, failing, now)
	})
}

// failed keeps the failure unconfirmed until an outcome elsewhere; a healthy target's first failure discards those of others.
func (d *Detector) failed(k *kindRow, id target.ID, r *row, now time.Time) {
	if r.streak == 0 && r.evidence == 0 {
		d.discard(k, id)
	}
	if r.state != ejected {
		r.streak++
		d.addUnconfirmed(k, id, r)
	}
	k.updateShare(id, 1)
	if d.shouldPause(r) && d.mayTakeOut() {
		d.takeOut(id, r, paused, reasonPaused)
		r.until = now.Add(pauseTime)
	}
}

// shouldPause reports whether a target in use should be paused: after two unconfirmed failures in a row, or one on trial.
func (d *Detector) shouldPause(r *row) bool {
	if r.trial {
		return r.state == healthy && r.unconfirmed > 0
	}
	return r.state == healthy && r.streak >= pauseStreak && r.unconfirmed >= pauseStreak
}

// reassess ejects a target with enough evidence against it, and ends a pause when no failure is unconfirmed any more.
func (d *Detector) reassess(id target.ID, r *row, now time.Time) {
	if r.evidence >= ejectEvidence {
		d.eject(id, r, reasonFailing, now)
		return
	}
	if r.state == paused && r.unconfirmed == 0 {
		d.resume(id, r)
	}
}

// setTrial starts or ends the trial of a target, during which it gets one task at a time.
func (d *Detector) setTrial(id target.ID, r *row, trial bool) {
	r.trial = trial
	d.ejector.Limit(id, trial)
}

func (d *Detector) takeOut(id target.ID, r *row, s state, reason string) {
	if !r.state.out() {
		d.out++
		d.ejector.Eject(id, true)
	}
	r.state = s
	r.reason = reason
}

// resume puts a target back into placement.
func (d *Detector) resume(id target.ID, r *row) {
	if r.state.out() {
		d.out--
		d.ejector.Eject(id, false)
	}
	r.state = healthy
	r.reason = ""
}
