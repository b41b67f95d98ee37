// Package merge reads several log files at once, line by line in order of time.
package merge
