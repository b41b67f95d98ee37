// Package roll writes the closed records of an entry to the roll-up stream in the platform's log.
package roll
