package roster

import (
	"math"
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
)

// Heard takes a target's report of the load that all other entries have put on it, running and queued: what it holds,
// of how many tasks, and the sum of their expected run times there; stamp is the agent's own monotonic clock, and a
// report older than the last is dropped, though it counts as a heartbeat.
func (r *Roster) Heard(id target.ID, stamp time.Duration, held needs.Vector, tasks int, work time.Duration, now time.Time) {
	t := r.row(id)
	if t == nil {
		return
	}
	r.deadline[id.Index()] = now.Add(r.patience())
	if stamp < t.stamp {
		return
	}
	t.stamp = stamp
	t.others = load{held: held, tasks: tasks, work: work}
	r.relist(uint32(id.Index()))
}

// Sent books one of the entry's own tasks, which takes v and is expected to run for work, at a target.
func (r *Roster) Sent(id target.ID, v needs.Vector, work time.Duration) {
	t := r.row(id)
	if t == nil {
		return
	}
	t.own.held = t.own.held.Add(v)
	t.own.tasks++
	t.own.work += work
	r.relist(uint32(id.Index()))
}

// Ended takes back what Sent booked, with the same v and work, whatever the end was; an earlier incarnation's is dropped.
func (r *Roster) Ended(id target.ID, v needs.Vector, work time.Duration) {
	t := r.row(id)
	if t == nil {
		return
	}
	t.own.held = t.own.held.Sub(v)
	t.own.tasks--
	t.own.work -= work
	r.relist(uint32(id.Index()))
}

// Rate sets how many times longer than the mean a target takes for a task; 1 is the mean, smaller is faster.
func (r *Roster) Rate(id target.ID, factor float64) {
	t := r.row(id)
	if t == nil || factor <= 0 {
		return
	}
	t.speed = math.Log2(factor) * stepsPerDoubling
	r.relist(uint32(id.Index()))
}
