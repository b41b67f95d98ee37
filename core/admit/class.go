package admit

import (
	"math/bits"
	"time"
)

// classes are the classes of patience, each twice as long as the one before; the first ends at firstClass.
const (
	classes    = 16
	firstClass = 250 * time.Millisecond
)

// classed is work by the patience of its jobs.
//
// Agents serve the earliest deadline of a share first, so a job waits mostly for those that are as impatient as
// itself. The patience from issue to deadline stays the same for a job's whole life, unlike the time that is left, so
// that nothing has to move between classes.
type classed [classes]float64

// class returns the class of a request; without a time of issue or a deadline it is the most patient.
func (r *Request) class() int {
	if r.Issued.IsZero() || r.Deadline.IsZero() {
		return classes - 1
	}
	patience := max(r.Deadline.Sub(r.Issued)-1, 0)
	return min(bits.Len64(uint64(patience/firstClass)), classes-1)
}

func (c *classed) add(r *Request, sign float64) {
	i := r.class()
	c[i] = max(c[i]+sign*r.work(), 0)
}

// ahead returns the part of the work whose jobs are as impatient as the request or more, 0 to 1.
func (c *classed) ahead(r *Request) float64 {
	var ahead, total float64
	last := r.class()
	for i, work := range c {
		total += work
		if i <= last {
			ahead += work
		}
	}
	if total == 0 {
		return 1
	}
	return ahead / total
}
