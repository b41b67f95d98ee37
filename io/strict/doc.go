// Package strict decodes TOML settings and refuses what the target does not declare, naming file, line and key.
package strict
