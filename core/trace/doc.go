// Package trace reconstructs the history of one job from the log lines of all processes, and explains how it ended.
package trace
