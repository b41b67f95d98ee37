// Package cfgerr defines the error in TOML settings and configuration: file, line, key and reason.
package cfgerr
