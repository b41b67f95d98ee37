// Package caller sends submissions to an entry over the public API.
package caller
