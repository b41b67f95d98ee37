// Package place chooses the targets at which the tasks of a job start.
package place
