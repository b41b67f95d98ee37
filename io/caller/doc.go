// Package caller is a client of an entry's HTTP API.
package caller
