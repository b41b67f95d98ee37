// Package times compares times.
package times
