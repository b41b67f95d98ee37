// Package limits defines the limits on a caller's requests.
package limits
