// Package submit decodes and checks a caller's submission.
package submit
