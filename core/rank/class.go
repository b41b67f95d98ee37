package rank

import "time"

// Class is how far a task stands back behind those that arrive at a target after it; class 0 stands back for hardly any.
type Class int

// Classes is the number of classes; loads are kept and reported by class.
const Classes = 4

// Of returns the class of a task that takes its place in a target's queue as if it arrived later by a delay.
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
