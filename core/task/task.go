package task

import "persimmonstage/core/needs"

// Task is one unit of work: an opaque payload and the free resources that a target needs to run it.
type Task struct {
	Payload []byte
	Needs   needs.Vector
}
