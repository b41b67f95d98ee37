// Package limits holds the bounds on what a caller may send.
package limits
