// Package fold merges TOML documents in the order of their names and remembers where each value came from.
package fold
