package eject

import (
	"time"

	"persimmonstage/core/cause"
	"persimmonstage/core/names"
	"persimmonstage/core/target"
)

// ejector takes targets out of placement and puts them back; the entry passes its roster.
type ejector interface {
	// Eject takes a target out of placement, or puts it back.
	Eject(id target.ID, out bool)
	// Limit restricts a target to one task of this entry at a time, or lifts the restriction.
	Limit(id target.ID, one bool)
	// Len returns the number of known targets.
	Len() int
}

// watcher is notified of ejections; the entry records them in the daily account.
type watcher interface {
	// Ejected is called when a target is taken out until a probe succeeds, with the cause for the daily report.
	Ejected(now time.Time, id target.ID, c cause.Cause)
	// Returned is called when an ejected target comes back or is removed.
	Returned(now time.Time, id target.ID)
}

// Outcome is how a task ended at a target.
type Outcome int

// Outcomes of a task.
const (
	// Succeeded means that the task returned a result.
	Succeeded Outcome = iota
	// Failed means that the task started and failed.
	Failed
)

// state tells whether a target gets work.
type state int

const (
	healthy state = iota
	paused        // out for a short time, while its failures in a row are unconfirmed
	ejected       // out until a probe succeeds
)

const (
	maxKinds = 4096
	// maxOutDivisor limits the targets that are out at a time to a third of the known ones, rounded up.
	maxOutDivisor = 3
)

func (s state) out() bool {
	return s != healthy
}

// row is the state of one target.
type row struct {
	generation   uint32
	gone         bool // removed; its ID is no longer valid
	state        state
	trial        bool // after a successful probe: one task at a time until one succeeds
	reason       string
	ejections    int     // number of ejections
	evidence     float64 // that the target itself causes failures
	unconfirmed  int     // failures that wait for an outcome at another target
	streak       int     // failures in a row
	inFlight     int
	longest      time.Duration // expected time to the end of the longest task in flight
	lastProgress time.Time     // time of the last end, or when the first task in flight was sent
	backoffs     int           // ejections and failed probes since the last backoff reset
	backoffReset time.Time     // when backoffs starts at zero again
	until        time.Time     // end of the pause, or time of the next probe
}

// Detector compares the outcomes at each target with those of the same kind at other targets. A failure counts against a
// target only when the next outcome of that kind at another target is a success, so a kind that fails everywhere ejects no
// target, and a target that fails everything is out after a few tasks. Until a failure is confirmed, failures in a row pause
// the target. At most a third of the targets are out at a time, rounded up, and never the last one. An ejected target gets no
// callers' tasks; it is probed after a time that doubles with each ejection, and returns when the probe succeeds, at first with
// one task at a time.
// A Detector belongs to one goroutine.
type Detector struct {
	ejector ejector
	watch   watcher
	rows    []row
	names   *names.Index
	kinds   []kindRow
	flaps   map[string]flap
	out     int
}

// New returns a Detector that ejects targets at e and notifies w.
func New(e ejector, w watcher) *Detector {
	return &Detector{ejector: e, watch: w, names: names.New(maxKinds), flaps: map[string]flap{}}
}

// Out reports whether a target is paused or ejected, and why.
func (d *Detector) Out(id target.ID) (reason string, out bool) {
	r := d.row(id)
	if r == nil || !r.state.out() {
		return "", false
	}
	return r.reason, true
}

// Sent records a task sent to a target, which is expected to end there after expected, including its wait.
func (d *Detector) Sent(id target.ID, expected time.Duration, now time.Time) {
	r := d.rowFor(id, now)
	if r == nil {
		return
	}
	if r.inFlight == 0 {
		r.lastProgress = now
		r.longest = 0
	}
	r.inFlight++
	r.longest = max(r.longest, expected)
}

// Dropped undoes Sent for a task that was refused or withdrawn before its start, which is no evidence about the target.
func (d *Detector) Dropped(id target.ID) {
	if r := d.row(id); r != nil {
		r.inFlight = max(0, r.inFlight-1)
	}
}

// Gone removes a target that left or whose heartbeats stopped; late outcomes of its tasks are ignored.
func (d *Detector) Gone(id target.ID, now time.Time) {
	if r := d.row(id); r != nil {
		d.reset(id, r, now)
		r.gone = true
	}
}

// row returns the row of a current ID, or nil.
func (d *Detector) row(id target.ID) *row {
	i := id.Index()
	if i >= len(d.rows) || d.rows[i].generation != id.Generation() || d.rows[i].gone {
		return nil
	}
	return &d.rows[i]
}

// rowFor returns the row of an ID, a new one for a later incarnation, and nil for an earlier or removed one.
func (d *Detector) rowFor(id target.ID, now time.Time) *row {
	for id.Index() >= len(d.rows) {
		d.rows = append(d.rows, row{})
	}
	r := &d.rows[id.Index()]
	if r.generation > id.Generation() {
		return nil
	}
	if r.generation < id.Generation() {
		d.reset(id, r, now)
	}
	return d.row(id)
}

// reset clears a row for the incarnation of id.
func (d *Detector) reset(id target.ID, r *row, now time.Time) {
	if r.state.out() {
		d.out--
	}
	if r.state == ejected {
		d.watch.Returned(now, target.New(uint32(id.Index()), r.generation))
	}
	*r = row{generation: id.Generation()}
}

// mayTakeOut reports whether the limit on targets that are out allows one more.
func (d *Detector) mayTakeOut() bool {
	n := d.ejector.Len()
	return d.out < min((n+maxOutDivisor-1)/maxOutDivisor, n-1)
}
