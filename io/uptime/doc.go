// Package uptime is a clock that never steps and that counts the time for which the host was suspended.
package uptime
