// Package roll writes the closed minutes of an entry to the system's own stream in the platform's log.
package roll
