// Package intake decides which connections of callers are closed when together they exceed the memory or the descriptors of a process.
package intake
