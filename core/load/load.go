package load

import (
	"time"

	"persimmonstage/core/needs"
)

// Load is an amount of running and queued work: the resources it holds, its number of tasks and its total expected run time.
type Load struct {
	Held  needs.Vector
	Tasks int
	Work  time.Duration
}

// Add returns the sum of l and o.
func (l Load) Add(o Load) Load {
	return Load{Held: l.Held.Add(o.Held), Tasks: l.Tasks + o.Tasks, Work: l.Work + o.Work}
}

// Sub returns l minus o.
func (l Load) Sub(o Load) Load {
	return Load{Held: l.Held.Sub(o.Held), Tasks: l.Tasks - o.Tasks, Work: l.Work - o.Work}
}
