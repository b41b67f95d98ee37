// Package digest holds what an owner is told of a day, ready to be rendered.
package digest
