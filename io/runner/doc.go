// Package runner is the project's stand-in for a target: it does real work on payloads and counts every start.
package runner
