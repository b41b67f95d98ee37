// Package stale tells which registrations of processes have not been renewed for so long that the process is gone for good.
package stale
