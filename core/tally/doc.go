// Package tally counts the jobs and events of an entry per minute and buffers closed records until they are written.
package tally
