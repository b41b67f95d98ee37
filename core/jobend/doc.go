// Package jobend describes the outcome of a repeatable job.
package jobend
