package eject

import (
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/target"
)

const (
	sickEvidence  = 12.0 // evidence at which a target is ejected: about five failures in a row of a kind that hardly ever fails
	trialEvidence = 9.0  // evidence that a target comes back with: one such failure ejects it again
	pauseStreak   = 2    // failures in a row, not settled, that pause a target
	pauseTime     = 500 * time.Millisecond
)

// Reasons why a target is out, as the state and the page show them.
const (
	reasonFailing  = "fails what it starts"
	reasonPaused   = "failures in a row"
	reasonHanging  = "starts tasks and ends none"
	reasonFlapping = "restarts again and again"
)

// causes says what the owner of the day is told of an ejection.
var causes = map[string]cause.Cause{
	reasonFailing:  cause.TargetFails,
	reasonHanging:  cause.TargetSlow,
	reasonFlapping: cause.TargetLost,
}

// Ended takes the end of a task of a kind at a target.
func (j *Detector) Ended(id target.ID, kind string, o Outcome, now time.Time) {
	r := j.row(id)
	if r == nil {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	switch o {
	case Succeeded:
		r.progress = now
		j.whole(j.kind(kind), id, r, now)
	case Failed:
		r.progress = now
		j.failed(j.kind(kind), id, r, now)
	}
}

// whole settles the failures of the kind elsewhere: they are their targets' own.
func (j *Detector) whole(k *kindRow, id target.ID, r *row, now time.Time) {
	k.learn(id, 0)
	k.relieve(id, r)
	r.streak = 0
	r.failing = max(0, r.failing-k.inFavour())
	switch r.state {
	case ejected:
		if r.reason == reasonHanging {
			r.until = now
		}
	case paused:
		j.resume(id, r)
	}
	if r.trial && r.state == well {
		j.limit(id, r, false)
	}
	if len(k.unsettled) == 0 {
		return
	}
	j.settle(k, id, func(other target.ID, sick *row, weight float64) {
		sick.failing += weight
		j.consider(other, sick, now)
	})
}

// failed holds the failure until an outcome elsewhere; the first failure of a target that was well dismisses those of others.
func (j *Detector) failed(k *kindRow, id target.ID, r *row, now time.Time) {
	if r.streak == 0 && r.failing == 0 {
		j.dismiss(k, id)
	}
	if r.state != ejected {
		r.streak++
		j.hold(k, id, r)
	}
	k.learn(id, 1)
	if j.suspect(r) && j.mayLose() {
		j.close(id, r, paused, reasonPaused)
		r.until = now.Add(pauseTime)
	}
}

// suspect reports whether a target that gets work should be paused: after two failures in a row, or one on trial.
func (j *Detector) suspect(r *row) bool {
	if r.trial {
		return r.state == well && r.unsettled > 0
	}
	return r.state == well && r.streak >= pauseStreak && r.unsettled >= pauseStreak
}

// consider ejects a target with enough evidence against it, and ends the pause of one that has nothing left to be settled.
func (j *Detector) consider(id target.ID, r *row, now time.Time) {
	if r.failing >= sickEvidence {
		j.eject(id, r, reasonFailing, now)
		return
	}
	if r.state == paused && r.unsettled == 0 {
		j.resume(id, r)
	}
}

// limit starts or ends the trial of a target.
func (j *Detector) limit(id target.ID, r *row, trial bool) {
	r.trial = trial
	j.gate.Limit(id, trial)
}

func (j *Detector) close(id target.ID, r *row, s state, reason string) {
	if !r.state.out() {
		j.out++
		j.gate.Eject(id, true)
	}
	r.state = s
	r.reason = reason
}

// resume lets a target have work again.
func (j *Detector) resume(id target.ID, r *row) {
	if r.state.out() {
		j.out--
		j.gate.Eject(id, false)
	}
	r.state = well
	r.reason = ""
}
