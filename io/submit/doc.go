// Package submit decodes and validates job submissions of callers.
package submit
