// Package load describes how much work stands at a target.
package load
