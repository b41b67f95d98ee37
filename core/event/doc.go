// Package event describes events of the system, at a point in time or over a span, that don't belong to a single job.
package event
