// Package dump prints a process's whole state on a signal.
package dump
