package regret

import (
	"slices"
	"time"

	"persimmonstage/core/record"
)

const (
	// lateValue is what a late answer is worth compared with one within the objective.
	lateValue = 0.2
	// usefulObjectives is the number of objectives after which an answer is of no more use to the caller.
	usefulObjectives = 3
	milli            = 1000.0
)

// job is a job by its id; one that its caller sent again counts once, from the first arrival.
type job struct {
	id        string
	kind      string
	arrived   time.Time
	objective time.Time
	useful    time.Time // the latest time at which an answer is of use
	work      float64   // core-seconds at a target of pace 1
	earned    float64
	reason    string // why it earned less than 1
	moved     bool
	givenUp   bool // as none of its targets could end it before its deadline
	kept      bool // until its deadline, in vain
	forecasts int  // attempts that ended well after a forecast
	early     int  // those of them that ended before their earliest possible end by forecast
	lost      bool // an attempt ended with its target
}

// Reasons of a difference between earned and bound.
const (
	refused     = "refused"
	noTargets   = "entry without targets"
	late        = "late"
	movedLate   = "moved too late"
	targetLost  = "target thought lost"
	notFinished = "not finished"
	entryLost   = "entry lost"
)

func (r *Report) jobTaken(l *record.Record) {
	if r.jobs[l.Text("id")] != nil {
		return
	}
	expected := l.Milliseconds("expected-ms")
	objective, deadline := l.Milliseconds("objective-ms"), l.Milliseconds("deadline-ms")
	j := &job{
		id: l.Text("id"), kind: l.Text("route"), arrived: l.At, objective: l.At.Add(min(objective, deadline)),
		useful: l.At.Add(min(usefulObjectives*objective, deadline)),
		work:   float64(l.Int("tasks")) * expected.Seconds() * float64(l.Int("millicores")) / milli,
		reason: entryLost,
	}
	r.jobs[j.id] = j
}

func (r *Report) jobEnded(l *record.Record) {
	j := r.jobs[l.Text("id")]
	if j == nil || j.earned == 1 {
		return
	}
	j.forecasts, j.early = j.forecasts+l.Int("forecasts"), j.early+l.Int("early")
	reason := l.Text("reason")
	j.givenUp = reason == "too-long" || reason == "no-time-left"
	j.kept = reason == "deadline"
	switch l.Text("fate") {
	case "done":
		j.done(l.At)
	case "refused":
		j.reason = refused
		if l.Int("agents") == 0 {
			j.reason = noTargets
		}
	case "cancelled", "failed":
		delete(r.jobs, j.id) // its caller left, or the work itself failed
	default:
		j.reason = j.because(notFinished)
		if l.Text("reason") == "no-target" {
			j.reason = noTargets
		}
	}
}

func (j *job) done(at time.Time) {
	switch {
	case !at.After(j.objective):
		j.earned, j.reason = 1, ""
	case !at.After(j.useful):
		j.earned, j.reason = lateValue, j.because(late)
	default:
		j.reason = j.because(late)
	}
}

// because returns the reason for a late or missing answer: what became of its attempts, or else usual.
func (j *job) because(usual string) string {
	switch {
	case j.lost:
		return targetLost
	case j.moved:
		return movedLate
	}
	return usual
}

func (r *Report) attemptEnded(l *record.Record) {
	id := l.Text("task")
	if len(id) > idLength {
		id = id[:idLength]
	}
	if j := r.jobs[id]; j != nil && slices.Contains(lostEnds, l.Text("how")) {
		j.lost = true
	}
}

// lostEnds are the ends of attempts whose target or agent was lost.
var lostEnds = []string{"lapsed", "crashed", "unknown"}

// idLength is the length of a job's id, with which the names of its tasks begin.
const idLength = 16
