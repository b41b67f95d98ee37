package roster

import (
	"math"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// Report records a target's report of its running and queued load from all other entries: the resources held, the number of
// tasks and the sum of their expected run times there. stamp is the agent's monotonic clock; a report older than the last one
// is ignored, but counts as a heartbeat. The load counts as class 0; ReportClass adds the load of other classes.
func (r *Roster) Report(id target.ID, stamp time.Duration, held needs.Vector, tasks int, work time.Duration, now time.Time) {
	r.now = now
	t := r.row(id)
	if t == nil {
		return
	}
	r.deadline[id.Index()] = now.Add(r.timeout())
	if stamp < t.stamp {
		return
	}
	t.stamp = stamp
	t.others = loads{}
	t.others.add(0, held, tasks, work)
	r.relist(uint32(id.Index()))
}

// ReportClass adds the load of another class from the report that was passed to Report.
func (r *Roster) ReportClass(id target.ID, stamp time.Duration, class rank.Class, held needs.Vector, tasks int, work time.Duration) {
	t := r.row(id)
	if t == nil || stamp < t.stamp {
		return
	}
	t.others.add(class, held, tasks, work)
	r.relist(uint32(id.Index()))
}

// Sent books one of the entry's own tasks of class 0, which takes v and is expected to run for work, at a target.
func (r *Roster) Sent(id target.ID, v needs.Vector, work time.Duration) {
	r.SentClass(id, 0, v, work)
}

// SentClass books one of the entry's own tasks of a class at a target.
func (r *Roster) SentClass(id target.ID, class rank.Class, v needs.Vector, work time.Duration) {
	t := r.row(id)
	if t == nil {
		return
	}
	t.own.add(class, v, 1, work)
	r.relist(uint32(id.Index()))
}

// Ended undoes Sent, with the same v and work, whatever the outcome; a task of an earlier incarnation is ignored.
func (r *Roster) Ended(id target.ID, v needs.Vector, work time.Duration) {
	r.EndedClass(id, 0, v, work)
}

// EndedClass undoes SentClass.
func (r *Roster) EndedClass(id target.ID, class rank.Class, v needs.Vector, work time.Duration) {
	t := r.row(id)
	if t == nil {
		return
	}
	t.own.sub(class, v, work)
	r.relist(uint32(id.Index()))
}

// SetSpeedFactor sets the run time of tasks at a target relative to the mean over all targets; 1 is the mean, less is faster.
func (r *Roster) SetSpeedFactor(id target.ID, factor float64) {
	t := r.row(id)
	if t == nil || factor <= 0 {
		return
	}
	t.speed = math.Log2(factor) * stepsPerDoubling
	r.relist(uint32(id.Index()))
}

// Work returns the sum of the expected run times of this entry's tasks at the targets, and of the other entries' tasks.
func (r *Roster) Work() (own, others time.Duration) {
	for i := range r.rows {
		own += r.rows[i].own.all.work
		others += r.rows[i].others.all.work
	}
	return own, others
}
