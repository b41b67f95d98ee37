// Package cfgerr holds the error that every reader of TOML settings returns: file, line, key and reason.
package cfgerr
