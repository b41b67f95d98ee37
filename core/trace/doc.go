// Package trace tells from the log lines of all processes what became of one job, and why.
package trace
