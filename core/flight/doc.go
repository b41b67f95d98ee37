// Package flight merges requests that one call answers. Those that arrive while a call is under way wait for the next one, as its
// result may be older than they are.
package flight
