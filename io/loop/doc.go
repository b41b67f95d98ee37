// Package loop runs all changes of a process's state on one goroutine.
package loop
