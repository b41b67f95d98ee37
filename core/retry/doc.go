// Package retry decides whether and when a task that was refused before its start is tried again.
package retry
