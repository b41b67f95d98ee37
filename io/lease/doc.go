// Package lease is a client of a worker's lease service on the platform.
package lease
