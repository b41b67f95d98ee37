// Package count reads the counters of running processes over their public HTTP ports.
package count
