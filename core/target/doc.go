// Package target holds the identity of a target within one process.
package target
