// Package fold merges TOML documents in the order of their names and records the file and line of each value.
package fold
