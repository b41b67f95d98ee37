// Package place decides where the tasks of a job start.
package place
