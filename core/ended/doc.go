// Package ended defines the outcomes of a job as they appear in the public API.
package ended
