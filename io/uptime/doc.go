// Package uptime reads a clock that never steps and that includes the time for which the host was suspended.
package uptime
