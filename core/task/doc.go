// Package task describes one task of a submission as its caller sent it.
package task
