// Package answer defines the answers to submissions.
package answer
