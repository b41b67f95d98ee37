// Package fate describes the outcome of a repeatable job.
package fate
