// Package logsrv is a stand-in for the platform's append-only log: in memory, over HTTP, with fault injection.
package logsrv
