// Package callers tests an entry's process against callers that stay within the limits of one request and exceed what a host can hold.
package callers
