// Package record parses the log lines that the processes write.
package record
