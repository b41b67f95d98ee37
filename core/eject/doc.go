// Package eject detects unhealthy targets and takes them out of placement until a probe succeeds.
package eject
