// Package when compares times.
package when
