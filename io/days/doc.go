// Package days reads the roll-ups of all entries from the platform's log and answers with the page of a day.
package days
