// Package retry decides whether and when a task that was refused before its start is retried.
package retry
