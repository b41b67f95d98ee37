// Package evac holds which data centres the operators have evacuated, merged from the log of their requests and from peers.
package evac
