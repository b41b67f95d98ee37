// Package runner implements a stand-in target for tests and trials: it processes payloads and counts every start.
package runner
