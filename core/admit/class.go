package admit

import (
	"math/bits"
	"time"
)

// Jobs are classed by patience, the time from issue to deadline. Each class is twice as wide as the one before; the
// first ends at firstClassLimit.
const (
	patienceClasses = 16
	firstClassLimit = 250 * time.Millisecond
)

// workByPatience holds the host-seconds of work in each class of patience.
//
// Agents serve the earliest deadline of a share first, so a job waits mostly for jobs with at most its own patience.
// Patience is constant for a job's whole life, unlike the time left, so jobs never move between classes.
type workByPatience [patienceClasses]float64

// patienceClass returns the class of a request; without an issue time or a deadline it is the most patient one.
func (r *Request) patienceClass() int {
	if r.Issued.IsZero() || r.Deadline.IsZero() {
		return patienceClasses - 1
	}
	patience := max(r.Deadline.Sub(r.Issued)-1, 0)
	return min(bits.Len64(uint64(patience/firstClassLimit)), patienceClasses-1)
}

func (c *workByPatience) add(r *Request, sign float64) {
	i := r.patienceClass()
	c[i] = max(c[i]+sign*r.work(), 0)
}

// fractionAhead returns the fraction, 0 to 1, of the work whose jobs have at most the patience of the request.
func (c *workByPatience) fractionAhead(r *Request) float64 {
	var ahead, total float64
	last := r.patienceClass()
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
