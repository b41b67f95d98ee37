// Package tally counts what an entry does, minute by minute, and holds the closed minutes until they are written.
package tally
