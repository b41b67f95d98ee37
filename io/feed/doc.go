// Package feed brings what happens on control connections to the goroutine of a process's control state.
package feed
