// Package guard accepts callers' connections and keeps what their requests hold within the memory and the descriptors of the process.
package guard
