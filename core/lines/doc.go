// Package lines finds the line on which a TOML document sets each key.
package lines
