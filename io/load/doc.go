// Package load is an open-loop load generator: it submits jobs to running entries over their public API and reports the outcomes.
package load
