package task

import "persimmonstage/core/needs"

// Task is the work of one start: opaque payload bytes and what a target must have free to run it.
type Task struct {
	Payload []byte
	Needs   needs.Vector
}
