// Package relay stands between processes on loopback and cuts one direction of their connections, for the tests of failures.
package relay
