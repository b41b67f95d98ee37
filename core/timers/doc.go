// Package timers keeps values ordered by the time at which they are due.
package timers
