// Package relay is a TCP proxy on loopback that can delay or drop one direction of a connection, for the tests of failures.
package relay
