// Package logcl is the client of the platform's append-only log.
package logcl
