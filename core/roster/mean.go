package roster

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/target"
)

// Capacity returns the capacity of a target.
func (r *Roster) Capacity(id target.ID) needs.Vector {
	if t := r.row(id); t != nil {
		return t.capacity
	}
	return needs.Vector{}
}

// MeanRunTime returns the mean of the expected run times of the tasks at a target.
func (r *Roster) MeanRunTime(id target.ID) time.Duration {
	t := r.row(id)
	if t == nil {
		return 0
	}
	n := max(1, t.own.all.tasks+t.others.all.tasks)
	return (t.own.all.work + t.others.all.work) / time.Duration(n)
}
