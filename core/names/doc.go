// Package names maps names to small numbers that index tables, for a bounded number of names.
package names
