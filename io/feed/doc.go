// Package feed passes the events of control connections to the goroutine that owns a process's control state.
package feed
