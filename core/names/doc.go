// Package names numbers the names that tables are kept by, within a bound.
package names
