package roster

import (
	"math"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// Report takes a target's report of the load that all other entries have put on it, running and queued: what it holds,
// of how many tasks, and the sum of their expected run times there; stamp is the agent's own monotonic clock, and a
// report older than the last is dropped, though it counts as a heartbeat. The load counts as of class 0; ReportClass adds
// what the report says of others.
func (r *Roster) Report(id target.ID, stamp time.Duration, held needs.Vector, tasks int, work time.Duration, now time.Time) {
	r.now = now
	t := r.row(id)
	if t == nil {
		return
	}
	r.deadline[id.Index()] = now.Add(r.patience())
	if stamp < t.stamp {
		return
	}
	t.stamp = stamp
	t.others = loads{}
	t.others.add(0, held, tasks, work)
	r.relist(uint32(id.Index()))
}

// ReportClass takes the load of a further class out of the report that Report took.
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

// Ended takes back what Sent booked, with the same v and work, whatever the end was; an earlier incarnation's is dropped.
func (r *Roster) Ended(id target.ID, v needs.Vector, work time.Duration) {
	r.EndedClass(id, 0, v, work)
}

// EndedClass takes back what SentClass booked.
func (r *Roster) EndedClass(id target.ID, class rank.Class, v needs.Vector, work time.Duration) {
	t := r.row(id)
	if t == nil {
		return
	}
	t.own.sub(class, v, work)
	r.relist(uint32(id.Index()))
}

// SetSpeedFactor sets how many times longer than the mean a target takes for a task; 1 is the mean, smaller is faster.
func (r *Roster) SetSpeedFactor(id target.ID, factor float64) {
	t := r.row(id)
	if t == nil || factor <= 0 {
		return
	}
	t.speed = math.Log2(factor) * stepsPerDoubling
	r.relist(uint32(id.Index()))
}

// Work returns the expected run time of all work that this entry has at the targets, and of what the others have there.
func (r *Roster) Work() (own, others time.Duration) {
	for i := range r.rows {
		own += r.rows[i].own.all.work
		others += r.rows[i].others.all.work
	}
	return own, others
}
