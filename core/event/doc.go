// Package event holds what happened to the system at a time or over a span, apart from any one job.
package event
