// Package lease is the client of the platform's lease service of a worker.
package lease
