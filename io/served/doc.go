// Package served runs an HTTP server on a port of its own and ends it whole, also when the end comes before the server has begun
// to accept connections.
package served
