// Package logger creates the loggers of the processes, which write JSON lines.
package logger
