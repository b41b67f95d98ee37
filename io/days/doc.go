// Package days reads the roll-ups of all entries from the platform's log and serves the page of a day.
package days
