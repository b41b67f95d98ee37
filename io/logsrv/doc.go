// Package logsrv is the project's stand-in of the platform's append-only log: in memory, over HTTP, with faults on request.
package logsrv
