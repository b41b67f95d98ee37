// Package timers orders what is due by its time.
package timers
