// Package load describes the amount of work at a target.
package load
