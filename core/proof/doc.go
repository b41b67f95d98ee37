// Package proof holds the tests that drive the cores of at-most-one-start together, under faults; it has no code of its own.
package proof
