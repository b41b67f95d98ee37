// Package delta describes a difference between configuration documents: a key set or removed.
package delta
