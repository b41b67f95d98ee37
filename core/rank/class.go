package rank

import "time"

// Class groups tasks by how much their place in a target's queue is delayed; tasks of class 0 are hardly delayed.
type Class int

// Classes is the number of classes; loads are recorded and reported by class.
const Classes = 4

// Of returns the class of a task that is queued at a target as if it had arrived later by a delay.
func Of(delay time.Duration) Class {
	switch {
	case delay < 50*time.Millisecond:
		return 0
	case delay < 500*time.Millisecond:
		return 1
	case delay < 5*time.Second:
		return 2
	}
	return Classes - 1
}
