// Package answer describes what a caller is told about a submission.
package answer
