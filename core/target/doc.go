// Package target defines the ID of a target within one process.
package target
