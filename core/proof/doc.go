// Package proof tests the cores behind at-most-one-start together under faults; it has no code besides tests.
package proof
