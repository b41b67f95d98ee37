// Package strict decodes TOML settings and rejects undeclared keys; errors give file, line and key.
package strict
