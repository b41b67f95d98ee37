// Package dump prints a process's whole state when a signal asks for it.
package dump
