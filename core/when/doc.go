// Package when compares moments.
package when
