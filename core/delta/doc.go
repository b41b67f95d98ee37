// Package delta holds the unit in which two configuration documents differ: one key set or removed.
package delta
