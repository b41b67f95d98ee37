// Package loop runs a process's control state on one goroutine.
package loop
