// Package faults tests real processes that are killed, frozen, stopped, restarted or cut off under load.
package faults
