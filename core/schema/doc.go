// Package schema declares the keys of the operators' configuration with their types, limits and defaults.
package schema
