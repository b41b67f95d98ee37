// Package logger makes the processes' logs, which are JSON lines.
package logger
