// Package batch describes a repeatable job: tasks with the same needs and payload, each of which may be attempted again once no
// earlier attempt of it can still be running.
package batch
