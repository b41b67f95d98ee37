// Package speed learns how long tasks of a kind run at a target.
package speed
