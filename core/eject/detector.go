package eject

import (
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/names"
	"persimmonstage/core/target"
)

// gate is what the Detector opens and closes; the entry gives its roster.
type gate interface {
	// Eject takes a target out of placement, or puts it back.
	Eject(id target.ID, out bool)
	// Limit lets a target have one task of this entry at a time, or as many as fit.
	Limit(id target.ID, one bool)
	// Len returns the number of known targets.
	Len() int
}

// watcher is told which targets are out; the entry notes them in the account of the day.
type watcher interface {
	// Ejected tells that a target was taken out until a probe finds it well, and what the owner of the day is told of it.
	Ejected(now time.Time, id target.ID, c cause.Cause)
	// Returned tells that an ejected target has come back or is gone.
	Returned(now time.Time, id target.ID)
}

// Outcome is how a task ended at a target.
type Outcome int

// The outcomes that are told apart.
const (
	// Succeeded is a result.
	Succeeded Outcome = iota
	// Failed is a task that started and failed.
	Failed
)

// state is where a target stands.
type state int

const (
	well    state = iota
	paused        // its failures in a row aren't confirmed yet
	ejected       // until a probe finds it well
)

const (
	maxKinds = 4096
	// shareOut is one over the largest share of the known targets that may be out at a time.
	shareOut = 3
)

func (s state) out() bool {
	return s != well
}

// row is what is known of one target.
type row struct {
	generation uint32
	gone       bool // its ID is void
	state      state
	trial      bool // since a probe found it well: it gets one task at a time until one is whole
	reason     string
	spell      int     // counts ejections
	failing    float64 // evidence that it fails what it starts
	unsettled  int     // failures that wait for an outcome elsewhere
	streak     int     // failures in a row
	inFlight   int
	longest    time.Duration // expected time to the end of the longest task in flight
	progress   time.Time     // of the last end, or the first task in flight
	strikes    int           // ejections that aren't forgiven
	forgiven   time.Time     // when the strikes are forgotten
	until      time.Time     // end of the pause, or time of the next probe
}

// Detector compares the outcomes at each target with those of the same kind elsewhere. A failure counts against a target only
// when the next outcome of that kind at another target is whole: so a kind that fails everywhere ejects nobody, and a
// target that fails everything is out after a few tasks. Until then failures in a row pause the target. At most a third
// of the targets are out at a time, rounded up, and never the last. An ejected target gets no caller's work; it is
// probed after a time that doubles with each ejection, and comes back when the probe finds it well, at first for one task
// at a time.
// A Detector belongs to one goroutine.
type Detector struct {
	gate  gate
	watch watcher
	rows  []row
	names *names.Index
	kinds []kindRow
	flaps map[string]flap
	out   int
}

// New returns a Detector that ejects targets at g and tells w of it.
func New(g gate, w watcher) *Detector {
	return &Detector{gate: g, watch: w, names: names.New(maxKinds), flaps: map[string]flap{}}
}

// Out reports whether a target is paused or ejected, and why.
func (j *Detector) Out(id target.ID) (reason string, out bool) {
	r := j.row(id)
	if r == nil || !r.state.out() {
		return "", false
	}
	return r.reason, true
}

// Sent takes a task sent to a target, which is expected to end there after expected, its wait included.
func (j *Detector) Sent(id target.ID, expected time.Duration, now time.Time) {
	r := j.take(id, now)
	if r == nil {
		return
	}
	if r.inFlight == 0 {
		r.progress = now
		r.longest = 0
	}
	r.inFlight++
	r.longest = max(r.longest, expected)
}

// Dropped takes back a task that was refused or withdrawn before its start, which says nothing of the target.
func (j *Detector) Dropped(id target.ID) {
	if r := j.row(id); r != nil {
		r.inFlight = max(0, r.inFlight-1)
	}
}

// Gone forgets a target that has left or fallen silent; late outcomes of its tasks count for nothing.
func (j *Detector) Gone(id target.ID, now time.Time) {
	if r := j.row(id); r != nil {
		j.reset(id, r, now)
		r.gone = true
	}
}

// row returns the row of a present ID, or nil.
func (j *Detector) row(id target.ID) *row {
	i := id.Index()
	if i >= len(j.rows) || j.rows[i].generation != id.Generation() || j.rows[i].gone {
		return nil
	}
	return &j.rows[i]
}

// take returns the row of an ID, a fresh one if the ID is a later incarnation, and nil if it is an earlier one or gone.
func (j *Detector) take(id target.ID, now time.Time) *row {
	for id.Index() >= len(j.rows) {
		j.rows = append(j.rows, row{})
	}
	r := &j.rows[id.Index()]
	if r.generation > id.Generation() {
		return nil
	}
	if r.generation < id.Generation() {
		j.reset(id, r, now)
	}
	return j.row(id)
}

// reset gives a row to the incarnation that id names.
func (j *Detector) reset(id target.ID, r *row, now time.Time) {
	if r.state.out() {
		j.out--
	}
	if r.state == ejected {
		j.watch.Returned(now, target.New(uint32(id.Index()), r.generation))
	}
	*r = row{generation: id.Generation()}
}

// mayLose reports whether one more target may be taken out.
func (j *Detector) mayLose() bool {
	n := j.gate.Len()
	return j.out < min((n+shareOut-1)/shareOut, n-1)
}
