// Package load offers jobs to running entries over their public API, open loop, and reports how they ended.
package load
